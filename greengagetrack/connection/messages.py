"""Messages between the system's own processes.

Every message is a tagged struct, encoded as a MessagePack array. A newer
version may append fields with defaults; an older one ignores the fields
that it does not define. A rolling restart needs no more than that.
"""

from typing import Annotated

import msgspec

from greengagetrack.connection.http import numbers

MESSAGE_MAX_BYTES = 2 * 1024 * 1024
# No sum and no time reckoned from such numbers leaves 64 bits.
AMOUNT_MAX = 2**53
TIME_MAX_MS = 2**40
LIMIT_MAX_PER_S = 1e9
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


class _Message(msgspec.Struct, array_like=True):
    """The base class of all messages."""


class AttemptId(msgspec.Struct, array_like=True, frozen=True):
    """The identity of one attempt: its entry's incarnation and a number.

    The numbers of one entry increase, so an agent can refuse an attempt
    that is older than all records that it still keeps.
    """

    entry: str
    number: int


class Load(_Message):
    """The load of an agent, as it reports it.

    `service_ms` is the recent mean duration of one call. `backlog_ms` is
    the call time of the queued work, `backlog_by_priority` its breakdown.
    """

    slots: int = 1
    running: int = 0
    queued: int = 0
    service_ms: float = 0.0
    backlog_ms: float = 0.0
    backlog_by_priority: dict[int, float] = {}


class OrderClaim(_Message):
    """The ticket or key that makes a non-repeatable call idempotent."""

    organisation: str
    fingerprint: bytes
    ticket: str = ""
    key: str = ""


class Submit(_Message, tag="submit"):
    """A request to an agent to accept an attempt.

    `acknowledged` has the numbers of earlier attempts whose records the
    agent may delete. Before it replies, the agent waits up to `wait_ms` for
    output after the first `resume_from` tokens.
    """

    attempt: AttemptId
    incarnation: str
    service: str
    budget_ms: int
    payload: bytes
    request_id: str = ""
    organisation: str = ""
    priority: int = 0
    weight: float = 1.0
    longest_wait_ms: int = 0
    row: str = ""
    floor: float = 0.0
    resume_from: int = 0
    is_repeatable: bool = True
    order: OrderClaim | None = None
    acknowledged: list[int] = []
    wait_ms: int = 0
    table_version: int = 0


class Pull(_Message, tag="pull"):
    """A long poll, of up to `wait_ms`, for the output after `offset`."""

    attempt: AttemptId
    incarnation: str
    offset: int
    wait_ms: int


class Withdraw(_Message, tag="withdraw"):
    """A request not to start an attempt, or to cancel a started one."""

    attempt: AttemptId
    incarnation: str


class IssueTicket(_Message, tag="issue_ticket"):
    """A request to an agent for a ticket for one order."""

    incarnation: str
    service: str
    pipeline: str
    organisation: str


class PromiseRequest(_Message, tag="ask_promise"):
    """A request to an agent to promise not to run an order's key."""

    service: str
    key: str
    asker: str


class Report(_Message, tag="report"):
    """The heartbeat of an agent to the entries of its data centre."""

    agent: str
    incarnation: str
    number: int
    service: str
    load: Load
    is_draining: bool = False
    table_version: int = 0
    model: str = ""
    prefixes: list[int] = []


class AgentState(_Message):
    """The state of one agent, as one entry sends it to another."""

    agent: str
    incarnation: str
    number: int
    age_ms: int
    service: str
    load: Load
    is_draining: bool = False
    model: str = ""


class Digest(_Message, tag="digest"):
    """The agents that one entry reports to another entry.

    Within a data centre, these are the agents that report to the sender or
    that other data centres sent it; to another one, a few per service.
    `unchanged` has the numbers of live agents whose state the receiver was
    sent in full before.
    """

    entry: str
    incarnation: str
    table_version: int
    agents: list[AgentState] = []
    unchanged: list[int] = []


class LeaseRequest(_Message, tag="lease_request"):
    """A request to the owner of a limit for credit in one region.

    With `is_loan`, it comes from the owner in another region, which
    borrows unused credit.
    """

    key: str
    entry: str
    kind: str
    amount: float
    table_version: int = 0
    is_loan: bool = False


class LeaseReply(_Message, tag="lease_reply"):
    """The granted credit, to be used within `valid_ms`."""

    granted: float
    valid_ms: int
    retry_after_ms: int = 0


class HandOverLimits(_Message, tag="hand_over"):
    """A request to stop granting limits for which `entry` ranks higher."""

    entry: str


class FetchManifest(_Message, tag="fetch_manifest"):
    """A request to a peer for the manifest of its current table."""


class Manifest(_Message, tag="manifest"):
    """The manifest of a table version, as published."""

    version: int
    text: bytes


class FetchDocument(_Message, tag="fetch_document"):
    """A request to a peer for one document of its current table."""

    key: str
    digest: str


class Document(_Message, tag="document"):
    """One document of a table; `text` is empty if the peer lacks it."""

    text: bytes


class Chunk(_Message, tag="chunk"):
    """The output of an attempt after an offset, and its state.

    With `is_done`, either `result` is the complete result, or `failure`
    is the reason why there is none and `ran` whether the attempt may have
    been executed.
    """

    state: str
    offset: int
    tokens: list[str] = []
    is_done: bool = False
    result: bytes = b""
    failure: str = ""
    ran: str = ""
    retry_after_ms: int = 0
    engine_ms: float = 0.0
    reused_tokens: int = 0
    load: Load | None = None


class WithdrawReply(_Message, tag="withdraw_reply"):
    """Whether the attempt has never run and never will."""

    is_withdrawn: bool


class Ticket(_Message, tag="ticket"):
    """A ticket, or the reason why none was issued."""

    token: str = ""
    failure: str = ""


class Promise(_Message, tag="promise"):
    """Whether the replying agent promises not to run the key.

    `reason` says why it does not: the key has run there, is running there,
    or the agent can't rule out that it has.
    """

    is_given: bool
    reason: str = ""


class Acknowledgement(_Message, tag="heard"):
    """The reply to a report, a digest or a handover request.

    `unknown` has the numbers of the `unchanged` agents of a digest whose
    state must be sent in full.
    """

    table_version: int
    unknown: list[int] = []


class PoolWait(_Message):
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


class Member(_Message):
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


class CentreDigest(_Message):
    """The merged state of a data centre's entries, `age_ms` ago.

    `loads` has the requests and the prompt tokens that all entries
    together have outstanding at each server.
    """

    data_centre: str
    age_ms: _AgeMs
    members: list[Member] = []
    waits: list[PoolWait] = []
    loads: list[_Load] = []


class CrashedRequest(_Message):
    """A request that broke off, `age_ms` ago, when a server crashed.

    `parts` are those of its prompt that other requests may share.
    """

    lifetime: str
    age_ms: _AgeMs
    request_id: str
    parts: list[str]
    has_begun: bool


class PartHold(_Message):
    """A part with which requests are refused.

    The ages are the times since it was found harmful and last seen.
    """

    part: str
    since_age_ms: _AgeMs
    seen_age_ms: _AgeMs


class SoundPart(_Message):
    """A part on which an answer went well, `age_ms` ago."""

    part: str
    age_ms: _AgeMs


class CrashNews(_Message):
    """What an entry knows of parts of prompts that crash servers."""

    crashed: list[CrashedRequest] = []
    holds: list[PartHold] = []
    sound: list[SoundPart] = []


class ServerLimit(_Message):
    """The limit that an answer of a server named `age_ms` ago.

    `limit_per_s` is None if that answer named none. `observer` is the entry
    that got it, and `number` counts what it has seen of this server.
    """

    server_id: str
    incarnation: numbers.Count
    limit_per_s: _LimitPerS | None
    age_ms: _AgeMs
    observer: str
    number: numbers.Count


class EarlierLife(_Message):
    """How the last life of an entry ended, as a peer heard it.

    `heard_age_ms` is how long before the first digest of the next life the
    last one of this came, `was_leaving` whether that said it leaves.
    """

    heard_age_ms: _AgeMs
    was_leaving: bool


class EntryDigest(_Message, tag="entry_digest"):
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
    a receiver that has just started of its last one.
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


class EntryDigestReply(_Message, tag="entry_heard"):
    """The reply to a digest: the digest of the replying entry."""

    digest: EntryDigest


class AcquirePermit(_Message, tag="acquire_permit"):
    """A request to the owner of a limit to let one request out.

    It is of use for `patience_ms`; lower priorities go first.
    """

    limit: ServerLimit
    priority: _Rank
    patience_ms: _TimeMs


class PermitReply(_Message, tag="permit"):
    """The reply to `AcquirePermit`, and the wait of one that asks next."""

    is_granted: bool
    next_wait_ms: _TimeMs = 0


class MakePieces(_Message, tag="make_pieces"):
    """A request to the owner of a pool to have some pieces made.

    All are pieces of one stage of one request and differ only in their
    numbers. `due_ms` is the time left until they should be made,
    `left_ms` until they are of no use any more. `is_first` means that a
    started answer is resumed, so its pieces go first. `kind` is that of
    the request.
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


class FreeResults(_Message, tag="free_results"):
    """A notice to a pool owner of results that are no longer needed."""

    service: str
    data_centre: str
    server_id: str
    handles: list[str]


class PieceResult(_Message):
    """The handle of a result and its server, or the reason of a failure."""

    handle: str = ""
    server_id: str = ""
    failure: str = ""


class MakePiecesReply(_Message, tag="pieces_made"):
    """The reply to `MakePieces`, with its pieces in the same order."""

    pieces: list[PieceResult]
    wait_ms: _TimeMs = 0
    wait: PoolWait | None = None


class BegunStream(_Message):
    """A stream and the software version that began it.

    `key` is a digest of its organisation and its request.
    """

    organisation: str
    key: bytes
    service: str
    version: str | None


class TellStreams(_Message, tag="tell_streams"):
    """News of streams that have just begun; the reply says nothing."""

    streams: list[BegunStream]


class FindStream(_Message, tag="find_stream"):
    """A question for the software version that began a stream."""

    organisation: str
    key: bytes
    service: str


class StreamVersion(_Message, tag="stream_version"):
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


class Rejected(_Message, tag="rejected"):
    """The reply to a message that was not accepted, with the reason."""

    detail: str


REQUESTS = (
    Submit | Pull | Withdraw | IssueTicket | PromiseRequest | Report
    | Digest | LeaseRequest | HandOverLimits | FetchManifest | FetchDocument
    | EntryDigest | MakePieces | FreeResults | AcquirePermit | TellStreams
    | FindStream
)  # fmt: skip
REPLIES = (
    Chunk | WithdrawReply | Ticket | Promise | Acknowledgement | LeaseReply
    | Manifest | Document | Rejected | EntryDigestReply | MakePiecesReply
    | PermitReply | StreamVersion
)  # fmt: skip

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(REQUESTS)
_reply_decoder = msgspec.msgpack.Decoder(REPLIES)


class Malformed(msgspec.Struct, frozen=True):
    """The result of decoding bytes that are not a valid message."""

    detail: str


def encode(message):
    """Return `message` encoded as MessagePack."""
    return _encoder.encode(message)


def _decode(decoder, body):
    if len(body) > MESSAGE_MAX_BYTES:
        return Malformed(f"{len(body)} bytes are over the limit")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
    except RecursionError:
        return Malformed("nested too deeply")


def decode_request(body):
    """Return the request in `body`, or `Malformed`."""
    return _decode(_request_decoder, body)


def decode_reply(body):
    """Return the reply in `body`, or `Malformed`."""
    return _decode(_reply_decoder, body)
