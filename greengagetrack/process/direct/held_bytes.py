"""Bounds on the bytes that an entry holds at the same time.

A whole answer is held until its caller has it, and so is an event that is
not complete yet. Each has a limit of its own; without one for all of them a
server whose answers have no end would take the memory of the process. What
callers send is bounded in the same way.
"""

# Of the memory of the machine, for all answers together.
MEMORY_SHARE = 1 / 8
# Of these, for the answers of one server: others need the rest.
SERVER_SHARE = 1 / 4
# Held without being counted, so that short answers are never given up.
FREE_BYTES = 16 * 1024


class HeldBytes:
    """The bytes that are held, of all and by owner, such as a server.

    An owner may hold `owner_share` of them.

    Example::

        held = held_bytes.new_answer("server-1")
        if not held.resize(len(body)):
            give_up()
        held.resize(0)
    """

    __slots__ = ("_owner_share", "_size_by_owner", "_total_bytes", "max_bytes")

    def __init__(self, max_bytes, owner_share):
        self.max_bytes = max_bytes
        self._owner_share = owner_share
        self._size_by_owner = {}
        self._total_bytes = 0

    def new_answer(self, server_id):
        """Return the `HeldAnswer` of a server's answer, with no bytes yet."""
        return HeldAnswer(self, server_id)

    def get_total(self):
        """Return the number of bytes that are held and counted."""
        return self._total_bytes

    def has_owner_room(self, owner, size):
        """Return whether an owner's share has room for more bytes."""
        owner_bytes = self._size_by_owner.get(owner, 0) + size
        return owner_bytes <= self.max_bytes * self._owner_share

    def add(self, owner, size):
        """Hold more bytes of an owner; return whether there is room."""
        if not self.has_owner_room(owner, size):
            return False
        if self._total_bytes + size > self.max_bytes:
            return False
        self._size_by_owner[owner] = self._size_by_owner.get(owner, 0) + size
        self._total_bytes += size
        return True

    def remove(self, owner, size):
        """Hold less bytes of an owner."""
        self._total_bytes -= size
        left_bytes = self._size_by_owner.get(owner, 0) - size
        if left_bytes > 0:
            self._size_by_owner[owner] = left_bytes
        else:
            self._size_by_owner.pop(owner, None)


class HeldAnswer:
    """The part of the bytes that one answer holds."""

    __slots__ = ("_held_bytes", "_server_id", "_size")

    def __init__(self, held_bytes, server_id):
        self._held_bytes = held_bytes
        self._server_id = server_id
        self._size = 0

    def resize(self, size):
        """Set the size of what is held; return whether there is room."""
        counted = max(size - FREE_BYTES, 0)
        more = counted - self._size
        if more > 0 and not self._held_bytes.add(self._server_id, more):
            return False
        if more < 0:
            self._held_bytes.remove(self._server_id, -more)
        self._size = counted
        return True


def get_max_bytes(memory_bytes):
    """Return how many bytes of answers an entry may hold."""
    return memory_bytes * MEMORY_SHARE


def new_held_bytes(memory_bytes):
    """Return the bytes of answers of an entry, none so far."""
    return HeldBytes(get_max_bytes(memory_bytes), SERVER_SHARE)
