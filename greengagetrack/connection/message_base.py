"""The base class of the messages between the system's own processes.

Every message is a tagged struct, encoded as a MessagePack array. A newer
version may append fields with defaults; an older one ignores the fields
that it does not define. A rolling restart needs no more than that.
"""

import msgspec


class Message(msgspec.Struct, array_like=True):
    """The base class of all messages."""
