"""A model engine in a process of its own, some of whose answers are unframed.

Its arguments are its address, its id, and after how many answers one is
unframed, 0 for none. It prints its address, and each unframed answer that it
begins.
"""

import asyncio
import sys

from standins import http

EVENTS = 30
EVENT_S = 0.15


class Engine:
    """The answers of one engine."""

    def __init__(self, engine_id, unframed_every):
        self._engine_id = engine_id
        self._unframed_every = unframed_every
        self._answers = 0

    async def handle(self, channel, request):
        """Stream the events of one answer."""
        if request.get("x-expect-instance") != self._engine_id:
            await channel.answer(421, [("X-Not-Run", "1")])
            return
        self._answers += 1
        request_id = request.get("x-request-id")
        headers = [
            ("X-Request-Id", request_id),
            ("X-Engine-Seal", f"seal.{self._engine_id}.{request_id}"),
            ("Content-Type", "text/event-stream"),
        ]
        every = self._unframed_every
        is_unframed = every and self._answers % every == 0
        if is_unframed:
            print("unframed", request_id, flush=True)
        else:
            headers.append(("Transfer-Encoding", "chunked"))
        await channel.send(http.new_response(200, headers, length=False))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = b"id: %d\ndata: text\n\n" % number
            await channel.send(event if is_unframed else http.new_chunk(event))
        if is_unframed:
            # The end of the channel is that of the answer.
            raise http.BrokenChannelError("the answer has ended")
        await channel.send(http.LAST_CHUNK)


async def main(address, engine_id, unframed_every):
    """Serve until killed."""
    engine = Engine(engine_id, int(unframed_every))
    server = http.Server(engine.handle)
    await server.start(address)
    print("listens", server.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
