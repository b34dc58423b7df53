"""A caller's request as parsed, and an admitted request."""

import msgspec

from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct import eligibilities
from greengagetrack.request import deadline as deadline_module
from greengagetrack.version import catalog


class DirectRequest(msgspec.Struct):
    """One request as its caller sent it.

    `headers` are those to forward. `parts` are the parts of the prompt as
    `(id, tokens)`; `piece_counts` is the number of pieces of each stage,
    None if it can't be read.
    `resume_after` is the id of the last event of a stream that its caller
    takes up again, and `resumed_id` that of the request that began it.
    `identity` is what copies of the request share, reckoned on first use.
    """

    request_id: bytes
    method: bytes
    target: bytes
    host: str
    headers: list
    body: bytes
    received_s: float
    deadline_ms: float | None = None
    api_key: str | None = None
    parts: tuple = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    piece_counts: tuple[int, ...] | None = ()
    piece_key: str = ""
    resume_after: bytes | None = None
    resumed_id: bytes = b""
    identity: str | None = None

    @property
    def path(self):
        """The target without its query, as text."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def shared_parts(self):
        """The ids of the parts that other requests may have as well.

        The last part belongs to the request itself or to its session.
        """
        return [part_id for part_id, _tokens in self.parts[:-1]]

    @property
    def log_id(self):
        """The request id as text, for logs and pieces."""
        return self.request_id.decode("latin-1")


class Admitted(msgspec.Struct):
    """An admitted request with its route, organisation and deadline.

    Its `RequestEligibility` says which servers may get it.
    """

    request: DirectRequest
    route: catalog.Route
    organisation: catalog.Organisation | None
    deadline: deadline_module.Deadline
    catalog_version: int
    eligibility: eligibilities.RequestEligibility

    @property
    def is_take_up(self):
        """Whether the caller takes up a stream that has broken off."""
        return (
            self.route.is_resumable and self.request.resume_after is not None
        )

    @property
    def organisation_name(self):
        """The name of the organisation, empty on a public route."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self):
        """The organisation's priority if it has one, else the route's."""
        if self.organisation is not None:
            if self.organisation.priority is not None:
                return self.organisation.priority
        return self.route.priority

    @property
    def queue_priority(self):
        """The priority among requests that wait, 0 is the first.

        Where organisations have priorities, most requests have the same;
        then the kinds of requests differ by those of their routes.
        """
        return self.priority + self.route.priority

    def get_stage_services(self):
        """Return the services of the stages that have pieces."""
        counts = self.request.piece_counts or ()
        return [
            stage.service
            for stage, count in zip(self.route.stages, counts, strict=False)
            if count
        ]

    @property
    def flow(self):
        """The `Flow` of its work in the queues of pools."""
        return forecast.Flow(self.route.name, self.queue_priority)

    @property
    def target_time_s(self):
        """The target time of the answer, on the clock of this process."""
        return self.request.received_s + self.route.target_ms / 1000
