"""Messages between the entries and the agents of agent mode."""

import msgspec

from greengagetrack.connection import message_base


class AttemptId(msgspec.Struct, array_like=True, frozen=True):
    """The identity of one attempt: its entry's incarnation and a number.

    The numbers of one entry increase, so an agent can refuse an attempt
    that is older than all records that it still keeps.
    """

    entry: str
    number: int


class Load(message_base.Message):
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


class OrderClaim(message_base.Message):
    """The ticket or key that makes a non-repeatable call idempotent."""

    organisation: str
    fingerprint: bytes
    ticket: str = ""
    key: str = ""


class Submit(message_base.Message, tag="submit"):
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


class Pull(message_base.Message, tag="pull"):
    """A long poll, of up to `wait_ms`, for the output after `offset`."""

    attempt: AttemptId
    incarnation: str
    offset: int
    wait_ms: int


class Withdraw(message_base.Message, tag="withdraw"):
    """A request not to start an attempt, or to cancel a started one."""

    attempt: AttemptId
    incarnation: str


class IssueTicket(message_base.Message, tag="issue_ticket"):
    """A request to an agent for a ticket for one order."""

    incarnation: str
    service: str
    pipeline: str
    organisation: str


class PromiseRequest(message_base.Message, tag="ask_promise"):
    """A request to an agent to promise not to run an order's key."""

    service: str
    key: str
    asker: str


class Report(message_base.Message, tag="report"):
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


class AgentState(message_base.Message):
    """The state of one agent, as one entry sends it to another."""

    agent: str
    incarnation: str
    number: int
    age_ms: int
    service: str
    load: Load
    is_draining: bool = False
    model: str = ""


class Digest(message_base.Message, tag="digest"):
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


class LeaseRequest(message_base.Message, tag="lease_request"):
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


class LeaseReply(message_base.Message, tag="lease_reply"):
    """The granted credit, to be used within `valid_ms`."""

    granted: float
    valid_ms: int
    retry_after_ms: int = 0


class HandOverLimits(message_base.Message, tag="hand_over"):
    """A request to stop granting limits for which `entry` ranks higher."""

    entry: str


class FetchManifest(message_base.Message, tag="fetch_manifest"):
    """A request to a peer for the manifest of its current table."""


class Manifest(message_base.Message, tag="manifest"):
    """The manifest of a table version, as published."""

    version: int
    text: bytes


class FetchDocument(message_base.Message, tag="fetch_document"):
    """A request to a peer for one document of its current table."""

    key: str
    digest: str


class Document(message_base.Message, tag="document"):
    """One document of a table; `text` is empty if the peer lacks it."""

    text: bytes


class Chunk(message_base.Message, tag="chunk"):
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


class WithdrawReply(message_base.Message, tag="withdraw_reply"):
    """Whether the attempt has never run and never will."""

    is_withdrawn: bool


class Ticket(message_base.Message, tag="ticket"):
    """A ticket, or the reason why none was issued."""

    token: str = ""
    failure: str = ""


class Promise(message_base.Message, tag="promise"):
    """Whether the replying agent promises not to run the key.

    `reason` says why it does not: the key has run there, is running there,
    or the agent can't rule out that it has.
    """

    is_given: bool
    reason: str = ""


class Acknowledgement(message_base.Message, tag="heard"):
    """The reply to a report, a digest or a handover request.

    `unknown` has the numbers of the `unchanged` agents of a digest whose
    state must be sent in full.
    """

    table_version: int
    unknown: list[int] = []
