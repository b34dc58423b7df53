"""Messages between the entries of direct mode, with bounds."""

from typing import Annotated

import msgspec

from greengagetrack.connection.http import numbers
from greengagetrack.connection import message_base

# No sum and no time reckoned from such numbers leaves 64 bits.
AMOUNT_MAX = 2**53
TIME_MAX_MS = 2**40
STREAM_LEFT_UNKNOWN_MS = 120_000
LIMIT_MAX_PER_S = 1e9
# The number of the observation of a server that nobody has observed.
NOT_OBSERVED = 0
_Amount = Annotated[int, msgspec.Meta(ge=0, le=AMOUNT_MAX)]
_Rank = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
# A time in the future would make news the last that is believed.
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=TIME_MAX_MS)]
_TimeMs = Annotated[int, msgspec.Meta(ge=-TIME_MAX_MS, le=TIME_MAX_MS)]
# These bounds also exclude numbers that are not finite.
_AgeS = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_LimitPerS = Annotated[float, msgspec.Meta(ge=0, le=LIMIT_MAX_PER_S)]
_Load = tuple[str, _Amount, _Amount]


class PoolWait(message_base.Message):
    """The time that a piece would wait in a pool of a data centre.

    `wait_ms` holds before all known priorities, `late_ms` for work that
    can't be in time. `by_priority` has, for work that can, each priority
    with its wait in ms and the load of it and better ones in percent.
    Only `excess_kinds`, which ask for more than their share, have these
    priorities; all others go first.
    """

    service: str
    wait_ms: _TimeMs
    by_priority: list[tuple[_Rank, _TimeMs, _TimeMs]] = []
    late_ms: _TimeMs = 0
    excess_kinds: list[str] = []


class Member(message_base.Message):
    """One entry of a data centre, as known to another one.

    `age_ms` is the time since the last contact. `weight` sets its share
    of the work that one entry does for all, such as owning pools.
    """

    name: str
    address: str
    age_ms: _AgeMs = 0
    catalog_version: numbers.Count = 0
    is_leaving: bool = False
    weight: _Weight = 1.0


class CentreDigest(message_base.Message):
    """The merged state of a data centre's entries, `age_ms` ago.

    `loads` has the requests and the prompt tokens that all entries
    together have outstanding at each server.
    """

    data_centre: str
    age_ms: _AgeMs
    members: list[Member] = []
    waits: list[PoolWait] = []
    loads: list[_Load] = []


class CrashedRequest(message_base.Message):
    """A request that broke off, `age_ms` ago, when a server crashed.

    `parts` are those of its prompt that other requests may share.
    """

    lifetime: str
    age_ms: _AgeMs
    request_id: str
    parts: list[str]
    has_begun: bool


class PartHold(message_base.Message):
    """A part with which requests are refused.

    The ages are the times since it was found harmful and last seen.
    """

    part: str
    since_age_ms: _AgeMs
    seen_age_ms: _AgeMs


class SoundPart(message_base.Message):
    """A part on which an answer went well, `age_ms` ago."""

    part: str
    age_ms: _AgeMs


class CrashNews(message_base.Message):
    """What an entry knows of parts of prompts that crash servers.

    `last_number` is the sender's own number of the last of `crashed`.
    """

    crashed: list[CrashedRequest] = []
    holds: list[PartHold] = []
    sound: list[SoundPart] = []
    last_number: _Amount = 0


class ServerLimit(message_base.Message):
    """The limit that an answer of a server named `age_ms` ago.

    `limit_per_s` is None if that answer named none. `observer` is the entry
    that got it, and `number` counts what it has seen of this server, with
    `NOT_OBSERVED` for none. `warming_left_ms` is how much longer the server
    is warming.
    """

    server_id: str
    incarnation: numbers.Count
    limit_per_s: _LimitPerS | None
    age_ms: _AgeMs
    observer: str
    number: numbers.Count
    warming_left_ms: _AgeMs = 0


class EarlierLife(message_base.Message):
    """How the last life of an entry ended, as a peer heard it.

    `heard_age_ms` is how long before the first digest of the next life the
    last one of this came, `was_leaving` whether that said it leaves.
    """

    heard_age_ms: _AgeMs
    was_leaving: bool


class Departure(message_base.Message):
    """A server that left, as an entry saw it `age_ms` ago.

    With `is_leaving` it said so, and never comes back in this incarnation.
    Otherwise its record was removed, at last in the given era of the source.
    """

    server_id: str
    incarnation: numbers.Count
    is_leaving: bool
    era: numbers.Count
    age_ms: _AgeMs


class Evacuation(message_base.Message):
    """Whether a data centre is evacuated, at a revision of the source.

    If so, its servers get no requests and no pieces.
    """

    data_centre: str
    is_evacuated: bool
    era: numbers.Count
    revision: numbers.Count


class EntryDigest(message_base.Message, tag="entry_digest"):
    """The state of one entry in direct mode, as it sends it to another.

    `freshness_age_s` is the age of its last confirmation that its catalog
    is the newest, negative without one. `parts` has large prompt parts,
    each with the id of the server that it was just sent to, `far_parts`
    those of other data centres. `waits` and `loads` are the sender's own,
    and omitted where `centres` has them. `peers` has the addresses of all
    entries, for a receiver that knows fewer than `peers_known`. `crash_news`
    and `limits` are repeated in each digest, so that a lost one does no harm.
    `newest_version` is the newest that the sender knows of, which may be one
    that it doesn't hold, and `newest_era` the first era of the source in
    which it was there. `confirmed_era` is the era of the confirmation.
    `started_ms` tells the lives of the sender apart, `earlier_life` tells
    a receiver that has just started of its last one. With `asks_departures`
    the reply is to tell which servers left. `evacuations` has those that
    are in force, and those that were just taken back.
    """

    name: str
    address: str
    data_centre: str
    catalog_version: numbers.Count = 0
    freshness_age_s: _AgeS = -1.0
    is_leaving: bool = False
    weight: _Weight = 1.0
    peers_known: numbers.Count = 0
    peers: list[str] = []
    waits: list[PoolWait] = []
    parts: list[tuple[str, str]] = []
    far_parts: list[tuple[str, str]] = []
    loads: list[_Load] = []
    centres: list[CentreDigest] = []
    crash_news: CrashNews | None = None
    limits: list[ServerLimit] = []
    newest_version: numbers.Count = 0
    newest_era: numbers.Count = 0
    confirmed_era: numbers.Count = 0
    started_ms: _Amount = 0
    earlier_life: EarlierLife | None = None
    asks_departures: bool = False
    evacuations: list[Evacuation] = []
    stream_life_ms: _AgeMs = 0


class EntryDigestReply(message_base.Message, tag="entry_heard"):
    """The reply to a digest: the digest of the replying entry.

    `departures` has the servers that left lately, if the digest asked.
    """

    digest: EntryDigest
    departures: list[Departure] = []


class AcquirePermit(message_base.Message, tag="acquire_permit"):
    """A request to the owner of a limit to let one request out.

    It is of use for `patience_ms`; lower priorities go first. `unused` is
    how many permits the sender gives back, which the same owner gave.
    """

    limit: ServerLimit
    priority: _Rank
    patience_ms: _TimeMs
    unused: _Amount = 0


class PermitReply(message_base.Message, tag="permit"):
    """The reply to `AcquirePermit`, and the wait of one that asks next."""

    is_granted: bool
    next_wait_ms: _TimeMs = 0


class MakePieces(message_base.Message, tag="make_pieces"):
    """A request to the owner of a pool to have some pieces made.

    All are pieces of one stage of one request and differ only in their
    numbers. `due_ms` is the time left until they should be made,
    `left_ms` until they are of no use any more. `is_first` means that a
    started answer is resumed, so its pieces go first. `kind` is that of
    the request. `input_servers` has the ids of the servers of the inputs, if
    nothing else reads these.
    """

    service: str
    data_centre: str
    request_id: str
    stage: _Amount
    numbers: Annotated[list[_Amount], msgspec.Meta(min_length=1)]
    due_ms: _TimeMs
    left_ms: _TimeMs
    priority: _Rank = 0
    result_bytes: _Amount = 0
    key: str = ""
    inputs: tuple[str, ...] | None = None
    is_first: bool = False
    kind: str = ""
    input_servers: tuple[str, ...] = ()


class FreeResults(message_base.Message, tag="free_results"):
    """A notice to a pool owner of results that are no longer needed."""

    service: str
    data_centre: str
    server_id: str
    handles: list[str]


class DropPieces(message_base.Message, tag="drop_pieces"):
    """A notice to a pool owner of pieces that may not be made there.

    Those that are in a call already are not held up.
    """

    service: str
    data_centre: str
    request_id: str
    stage: _Amount


class PieceResult(message_base.Message):
    """The handle of a result and its server, or the reason of a failure."""

    handle: str = ""
    server_id: str = ""
    failure: str = ""


class MakePiecesReply(message_base.Message, tag="pieces_made"):
    """The reply to `MakePieces`, with its pieces in the same order."""

    pieces: list[PieceResult]
    wait_ms: _TimeMs = 0
    wait: PoolWait | None = None


class BegunStream(message_base.Message):
    """A stream and the software version that began it.

    `key` is a digest of its organisation and its request. Its caller may
    take it up for `left_ms` from now on, which entries of an earlier version
    don't tell.
    """

    organisation: str
    key: bytes
    service: str
    version: str | None
    left_ms: _AgeMs = STREAM_LEFT_UNKNOWN_MS


class TellStreams(message_base.Message, tag="tell_streams"):
    """News of streams that have just begun; the reply says nothing."""

    streams: list[BegunStream]


class FindStream(message_base.Message, tag="find_stream"):
    """A question for the software version that began a stream."""

    organisation: str
    key: bytes
    service: str


class StreamVersion(message_base.Message, tag="stream_version"):
    """What an entry knows of the software version that began a stream.

    `recorded` was told when the stream began, with its `service`. It is None
    if it was unknown then; without a record the service is empty.
    `versions` are those of the service asked for that have served for as
    long as a stream may last; with `is_complete`, no others have.
    """

    recorded: str | None = None
    versions: list[str] = []
    is_complete: bool = False
    service: str = ""

    @property
    def is_recorded(self):
        """Return whether the stream is known, if not its version."""
        return self.service != ""
