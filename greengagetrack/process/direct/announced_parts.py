"""Large prompt parts that were sent to servers, to be told to peers."""

import collections
import enum

import msgspec

ANNOUNCED_PARTS_MAX = 256


class PartOrigin(enum.Enum):
    """The entry that reported a prompt part on a server.

    `OWN` is this entry, `LOCAL` a peer in the same data centre, `REMOTE`
    one in another data centre.
    """

    OWN = enum.auto()
    LOCAL = enum.auto()
    REMOTE = enum.auto()


class AnnouncedPart(msgspec.Struct, frozen=True):
    """A large prompt part on a server, to be announced to peers."""

    number: int
    part_id: str
    server_id: str
    origin: PartOrigin


class AnnouncedParts:
    """The last announced parts, numbered from 1 on."""

    __slots__ = ("_parts",)

    def __init__(self):
        self._parts = collections.deque(maxlen=ANNOUNCED_PARTS_MAX)

    def add(self, part_id, server_id, origin):
        """Announce a part that a server has from now on."""
        number = self.get_last_number() + 1
        self._parts.append(AnnouncedPart(number, part_id, server_id, origin))

    def get_last_number(self):
        """Return the number of the last announced part, 0 if none."""
        return self._parts[-1].number if self._parts else 0

    def get_after(self, number, is_local):
        """Return the parts announced after one, for a peer.

        The first list has the parts recorded in this data centre, the
        second those from other data centres, only for local peers.
        """
        local_parts, remote_parts = [], []
        for announced in self._parts:
            pair = (announced.part_id, announced.server_id)
            if announced.number <= number:
                continue
            if announced.origin is PartOrigin.OWN:
                local_parts.append(pair)
            elif announced.origin is PartOrigin.LOCAL and not is_local:
                local_parts.append(pair)
            elif announced.origin is PartOrigin.REMOTE and is_local:
                remote_parts.append(pair)
        return local_parts, remote_parts


def new_announced_parts():
    """Return no announced parts."""
    return AnnouncedParts()
