"""Binds a run to the software version that began its stream."""

from greengagetrack.process.direct import stream_lives
from greengagetrack.process.direct import streams as streams_module
from greengagetrack.request import outcome

_Reason = outcome.Reason


class StreamBinding:
    """Where the stream of one run began, if it did.

    The caller may take up a stream that broke off, or the run resumes it
    itself. From then on the `ServerSelector` chooses servers of the version
    that began it, of the same service.
    """

    __slots__ = ("_admitted", "_directory", "_selector", "_streams")

    def __init__(self, services, admitted, selector):
        self._streams = services.streams
        self._directory = services.directory
        self._admitted = admitted
        self._selector = selector

    async def bind_take_up(self):
        """Bind a stream that its caller takes up; return `Refused` or None.

        No time to return is named: what has begun is lost.
        """
        if not self._admitted.is_take_up:
            return None
        origin = await self._streams.find_origin(
            self._get_stream_id(), self._get_services()
        )
        if origin is None:
            return outcome.Refused(
                _Reason.STREAM_VERSION_UNKNOWN, retry_after_ms=None
            )
        self._selector.bind(origin)
        refused = self.check()
        if refused is None:
            self._record(origin)
        return refused

    def check(self):
        """Return `Refused` if no server can go on with the stream."""
        if self._selector.has_servers():
            return None
        if self._selector.software_version is None:
            return outcome.Refused(
                _Reason.STREAM_VERSION_UNKNOWN, retry_after_ms=None
            )
        return outcome.Refused(
            _Reason.STREAM_VERSION_GONE,
            f"version {self._selector.software_version}",
            retry_after_ms=None,
        )

    def begin(self, server, opened_s):
        """Bind the stream to the `KnownServer` whose answer begins.

        It comes over a connection that was opened at `opened_s`.
        """
        if self._selector.is_bound:
            return
        version = self._directory.get_answering_version(server, opened_s)
        origin = streams_module.Origin(self._selector.service, version)
        self._record(origin)
        self._selector.bind(origin)

    def _record(self, origin):
        self._streams.begin(
            self._get_stream_id(),
            origin,
            self._get_services(),
            stream_lives.get_end_s(self._admitted),
        )

    def _get_services(self):
        route = self._admitted.route
        return [service.service for service in route.services]

    def _get_stream_id(self):
        request = self._admitted.request
        return streams_module.StreamId(
            self._admitted.organisation_name,
            request.resumed_id or request.request_id,
        )


def new_stream_binding(services, admitted, selector):
    """Return the binding of a run whose stream has not begun."""
    return StreamBinding(services, admitted, selector)
