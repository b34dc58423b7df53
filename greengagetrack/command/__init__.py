"""The programs that a person starts."""
