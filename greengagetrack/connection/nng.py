"""Links over nng's request/reply protocol, one context per request.

nng resends a request after a reconnect, so a request can arrive twice or
late. For that reason every message is idempotent.
"""

import contextlib
import logging

import pynng
import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.connection import seal

RECONNECT_MIN_MS = 50
# Shorter than an entry that starts waits for what its peers know.
RECONNECT_MAX_MS = 500
# The longest that nng takes. A reply may take as long as the work that was
# asked for, which a second request would have done twice.
RESEND_MS = 2**31 - 1
CONTEXTS_MAX = 1024
ACCEPT_RETRY_S = 0.1

_log = logging.getLogger(__name__)


class NngLink(base.PeerLink):
    """A link to one peer over a pynng Req socket."""

    __slots__ = ("_key_ring", "_pipe_count", "_socket")

    def __init__(self, socket, key_ring):
        self._socket = socket
        self._key_ring = key_ring
        self._pipe_count = 0

    def is_up(self):
        """Return whether the peer is connected at this moment."""
        return self._pipe_count > 0

    async def request(self, message, timeout_s):
        """Send a request; return the reply, `NotSent` or `Lost`."""
        if not self.is_up():
            return base.NotSent()
        sealed_request = self._key_ring.seal(messages.encode(message))
        # The pipe is up, so the socket accepts the request at once; from
        # here on it counts as sent, whatever happens.
        with trio.move_on_after(timeout_s):
            try:
                with contextlib.closing(self._socket.new_context()) as context:
                    await context.asend(sealed_request)
                    sealed_reply = await context.arecv()
            except pynng.NNGException as error:
                return base.Lost(str(error))
            return self._open_reply(
                sealed_reply, seal.get_code(sealed_request)
            )
        return base.Lost("timeout")

    def _open_reply(self, sealed_reply, request_code):
        body = self._key_ring.open(sealed_reply, request_code)
        if body is None:
            return base.Lost("the reply failed authentication")
        reply = messages.decode_reply(body)
        if isinstance(reply, messages.Malformed | messages.Rejected):
            return base.Lost(reply.detail)
        return reply

    def close(self):
        """Close the link; requests in progress return `Lost`."""
        self._socket.close()

    def _on_connect(self, pipe):
        # nng calls this in a thread of its own; adding to an integer under
        # the global interpreter lock needs no other lock.
        self._pipe_count += 1

    def _on_remove(self, pipe):
        self._pipe_count -= 1


class NngLinkFactory(base.LinkFactory):
    """A factory of links over TCP."""

    __slots__ = ("_key_ring",)

    def __init__(self, key_ring):
        self._key_ring = key_ring

    def open_link(self, address):
        """Return a link to `address`, such as `127.0.0.1:7000`.

        A link to what is no address is never up.
        """
        socket = pynng.Req0(resend_time=RESEND_MS)
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        socket.recv_max_size = messages.MESSAGE_MAX_BYTES
        link = NngLink(socket, self._key_ring)
        socket.add_post_pipe_connect_cb(link._on_connect)
        socket.add_post_pipe_remove_cb(link._on_remove)
        try:
            socket.dial(f"tcp://{address}", block=False)
        except (pynng.NNGException, UnicodeError) as error:
            _log.warning(
                "could not dial a peer",
                extra={"peer": ascii(address[:80]), "detail": str(error)},
            )
        return link


class NngServer(base.PeerServer):
    """A server for peers over a pynng Rep socket.

    A request occupies its context until it is answered, so contexts are
    opened as needed, up to `CONTEXTS_MAX`.
    """

    __slots__ = ("_address", "_contain", "_key_ring", "_limiter")

    def __init__(self, address, key_ring, contain):
        self._address = address
        self._key_ring = key_ring
        self._contain = contain
        self._limiter = trio.CapacityLimiter(CONTEXTS_MAX)

    async def serve(self, handler, task_status=trio.TASK_STATUS_IGNORED):
        """Pass each request to `await handler(message)` until cancelled."""
        with pynng.Rep0() as socket:
            socket.recv_max_size = messages.MESSAGE_MAX_BYTES
            socket.listen(f"tcp://{self._address}")
            task_status.started()
            async with trio.open_nursery() as nursery:
                while True:
                    received = None
                    with self._contain("peer_accept"):
                        received = await self._receive(socket.new_context())
                    if received is None:
                        await trio.sleep(ACCEPT_RETRY_S)
                        continue
                    nursery.start_soon(
                        self._answer_request, *received, handler
                    )

    async def _receive(self, context):
        """Return the context and the request that it received."""
        is_received = False
        try:
            await self._limiter.acquire_on_behalf_of(context)
            sealed_request = await context.arecv()
            is_received = True
        finally:
            if not is_received:
                context.close()
        return context, sealed_request

    async def _answer_request(self, context, sealed_request, handler):
        try:
            reply = messages.encode(messages.Rejected("unforeseen error"))
            with self._contain("peer_message"):
                reply = await self._get_reply(sealed_request, handler)
            if reply is not None:
                with self._contain("peer_message"):
                    await self._send_reply(context, sealed_request, reply)
        finally:
            context.close()
            self._limiter.release_on_behalf_of(context)

    async def _send_reply(self, context, sealed_request, reply):
        request_code = seal.get_code(sealed_request)
        sealed_reply = self._key_ring.seal(reply, request_code)
        try:
            await context.asend(sealed_reply)
        except pynng.NNGException as error:
            # The peer has disconnected; it retries if it needs the reply.
            _log.debug(
                "could not send the reply to a peer",
                extra={"detail": str(error)},
            )

    async def _get_reply(self, sealed_request, handler):
        """Return the encoded reply, or None for a message of nobody."""
        body = self._key_ring.open(sealed_request)
        if body is None:
            _log.warning("message from a peer failed authentication")
            return None
        message = messages.decode_request(body)
        if isinstance(message, messages.Malformed):
            _log.warning(
                "message from a peer could not be decoded",
                extra=_get_log_extra(message),
            )
            return messages.encode(messages.Rejected(message.detail))
        return messages.encode(await handler(message))


def _get_log_extra(malformed):
    return {"detail": malformed.detail[:200]}


def new_link_factory(key_ring):
    """Return a factory of nng links, authenticated by `key_ring`."""
    return NngLinkFactory(key_ring)


def new_server(address, key_ring, contain=contextlib.nullcontext):
    """Return a server that listens on `address` over TCP.

    Each request is handled within the context `contain(boundary)`, which
    may keep an unforeseen error from ending the server.
    """
    return NngServer(address, key_ring, contain)
