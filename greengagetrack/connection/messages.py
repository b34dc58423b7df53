"""Messages between the system's own processes.

Every message is a tagged struct encoded as a MessagePack array. A newer
neighbour may append fields with defaults; an older one ignores what
follows the fields that it knows. That is all a rolling restart needs.
"""

import msgspec

MESSAGE_MAX_BYTES = 2 * 1024 * 1024


class _Message(msgspec.Struct, array_like=True):
    """The common shape of all messages."""


class AttemptId(msgspec.Struct, array_like=True, frozen=True):
    """The identity of one attempt: its entry's incarnation and a number.

    The numbers of one entry rise, which lets an agent refuse what is
    older than anything it still remembers.
    """

    entry: str
    number: int


class Load(_Message):
    """What an agent says of its own load.

    `service_ms` is the recent mean time of one call; `backlog_ms` is the
    work that waits, in call time, and `backlog_by_priority` its parts.
    """

    slots: int = 1
    running: int = 0
    queued: int = 0
    service_ms: float = 0.0
    backlog_ms: float = 0.0
    backlog_by_priority: dict[int, float] = {}


class OrderClaim(_Message):
    """What makes a non-repeatable call idempotent: a ticket or a key."""

    organisation: str
    fingerprint: bytes
    ticket: str = ""
    key: str = ""


class Submit(_Message, tag="submit"):
    """Ask an agent to accept an attempt."""

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
    """Ask for what follows `offset`, waiting up to `wait_ms`."""

    attempt: AttemptId
    incarnation: str
    offset: int
    wait_ms: int


class Withdraw(_Message, tag="withdraw"):
    """Ask that an attempt never start; cancel it if it has."""

    attempt: AttemptId
    incarnation: str


class IssueTicket(_Message, tag="issue_ticket"):
    """Ask an agent for a ticket for one order."""

    incarnation: str
    service: str
    pipeline: str
    organisation: str


class PromiseRequest(_Message, tag="ask_promise"):
    """Ask the next agent in rank not to run a key."""

    service: str
    key: str
    asker: str


class Report(_Message, tag="report"):
    """An agent's heartbeat to entries of its data centre."""

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
    """One agent as an entry passes it on to another entry."""

    agent: str
    incarnation: str
    number: int
    age_ms: int
    service: str
    load: Load
    is_draining: bool = False
    model: str = ""


class Digest(_Message, tag="digest"):
    """The agents that one entry hears directly, or a few per service.

    `unchanged` names living agents, by number, about which the receiver
    was told everything before.
    """

    entry: str
    incarnation: str
    table_version: int
    agents: list[AgentState] = []
    unchanged: list[int] = []


class LeaseRequest(_Message, tag="lease_request"):
    """Ask the owner of a limit for credit in one region."""

    key: str
    entry: str
    kind: str
    amount: float
    table_version: int = 0
    is_loan: bool = False


class LeaseReply(_Message, tag="lease_reply"):
    """Credit granted, to be used within `valid_ms`."""

    granted: float
    valid_ms: int
    retry_after_ms: int = 0


class HandOverLimits(_Message, tag="hand_over"):
    """Ask another entry to leave limits to one that ranks above it."""

    entry: str


class FetchManifest(_Message, tag="fetch_manifest"):
    """Ask a peer for the manifest of the version it has in force."""


class Manifest(_Message, tag="manifest"):
    """The manifest of a table version, as published."""

    version: int
    text: bytes


class FetchDocument(_Message, tag="fetch_document"):
    """Ask a peer for one document of the table in force."""

    key: str
    digest: str


class Document(_Message, tag="document"):
    """One document of a table; empty `text` means not held."""

    text: bytes


class Chunk(_Message, tag="chunk"):
    """What an agent has of an attempt after an offset.

    With `is_done`, either `result` is the whole result, or `failure`
    names why there is none and `ran` whether it may have been executed.
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
    """Whether the attempt never ran and never will."""

    is_withdrawn: bool


class Ticket(_Message, tag="ticket"):
    """A ticket, or the reason why none was issued."""

    token: str = ""
    failure: str = ""


class Promise(_Message, tag="promise"):
    """Whether the key will not run at the answering agent.

    `reason` says why not: it ran there, runs there, or cannot be known.
    """

    is_given: bool
    reason: str = ""


class Acknowledgement(_Message, tag="heard"):
    """The answer to a report or a digest.

    `unknown` names the agents of a digest that must be told in full.
    """

    table_version: int
    unknown: list[int] = []


class PoolWait(_Message):
    """How long a piece would wait in a pool of some data centre."""

    service: str
    wait_ms: int


class Member(_Message):
    """One entry of a data centre, as another one heard it.

    `age_ms` is how long ago it was heard; `weight` its share of the work
    that one entry does for all.
    """

    name: str
    address: str
    age_ms: int = 0
    catalog_version: int = 0
    is_leaving: bool = False
    weight: float = 1.0


class CentreDigest(_Message):
    """What a data centre's entries tell together, `age_ms` ago.

    `loads` has the requests and the prompt tokens that all of them have
    outstanding at each server.
    """

    data_centre: str
    age_ms: int
    members: list[Member] = []
    waits: list[PoolWait] = []
    loads: list[tuple[str, int, int]] = []


class EntryDigest(_Message, tag="entry_digest"):
    """What one entry that calls servers itself tells another.

    `freshness_age_s` is the age of its last confirmation that its catalog
    is the newest, negative without one. `parts` names large prompt parts,
    each with the id of the server that it was just sent to, `far_parts`
    those of other data centres; `waits` and `loads` are the sender's own,
    and left out where `centres` has them. `peers` has the addresses of
    all entries, for one that knows fewer than `peers_known`.
    """

    name: str
    address: str
    data_centre: str
    catalog_version: int = 0
    freshness_age_s: float = -1.0
    is_leaving: bool = False
    weight: float = 1.0
    peers_known: int = 0
    peers: list[str] = []
    waits: list[PoolWait] = []
    parts: list[tuple[str, str]] = []
    far_parts: list[tuple[str, str]] = []
    loads: list[tuple[str, int, int]] = []
    centres: list[CentreDigest] = []


class EntryDigestReply(_Message, tag="entry_heard"):
    """The answer to a digest: the answering entry's own."""

    digest: EntryDigest


class MakePieces(_Message, tag="make_pieces"):
    """Ask the entry that gathers a service's pieces to have some made.

    All are pieces of one stage of one request, which have all but their
    numbers in common. `due_ms` is the time left until they should be
    made, `left_ms` until nobody wants them any more.
    """

    service: str
    data_centre: str
    request_id: str
    stage: int
    numbers: list[int]
    due_ms: int
    left_ms: int
    priority: int = 0
    result_bytes: int = 0
    key: str = ""
    inputs: tuple[str, ...] | None = None
    is_first: bool = False


class FreeResults(_Message, tag="free_results"):
    """Tell the entry that gathers for a pool what is not needed any more."""

    service: str
    data_centre: str
    server_id: str
    handles: list[str]


class PieceResult(_Message):
    """The handle of a result and its maker, or why there is none."""

    handle: str = ""
    server_id: str = ""
    failure: str = ""


class MakePiecesReply(_Message, tag="pieces_made"):
    """The answer to `MakePieces`, in its order."""

    pieces: list[PieceResult]
    wait_ms: int = 0


class Rejected(_Message, tag="rejected"):
    """A message that could not be taken, with what was wrong."""

    detail: str


REQUESTS = (
    Submit | Pull | Withdraw | IssueTicket | PromiseRequest | Report
    | Digest | LeaseRequest | HandOverLimits | FetchManifest | FetchDocument
    | EntryDigest | MakePieces | FreeResults
)  # fmt: skip
REPLIES = (
    Chunk | WithdrawReply | Ticket | Promise | Acknowledgement | LeaseReply
    | Manifest | Document | Rejected | EntryDigestReply | MakePiecesReply
)  # fmt: skip

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(REQUESTS)
_reply_decoder = msgspec.msgpack.Decoder(REPLIES)


class Malformed(msgspec.Struct, frozen=True):
    """Bytes that are no message, with the reason."""

    detail: str


def encode(message):
    """Return the bytes of `message`."""
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
