"""What an entry shares among requests where it calls servers itself."""
