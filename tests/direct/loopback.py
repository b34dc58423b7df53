"""Raw TCP peers on loopback for tests of the HTTP protocol."""

import struct

import trio

LIMIT_S = 5.0
# What a server says of itself before a stream goes on there.
REPORT = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 10\r\n\r\n{"born":0}'
)


async def read_until(stream, end):
    """Return the data of a stream up to and including `end`, or to EOF."""
    data = b""
    with trio.fail_after(LIMIT_S):
        while end not in data:
            more = await stream.receive_some(65536)
            if not more:
                return data
            data += more
    return data


async def read_all(stream):
    """Return the data of a stream until EOF or a reset."""
    data = b""
    with trio.fail_after(LIMIT_S):
        while True:
            try:
                more = await stream.receive_some(65536)
            except trio.BrokenResourceError:
                return data
            if not more:
                return data
            data += more


async def start_raw_server(nursery, handle, receive_buffer_bytes=None):
    """Serve each connection with `handle(stream)`; return the address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    if receive_buffer_bytes is not None:
        # Its connections inherit it.
        listeners[0].socket.setsockopt(
            trio.socket.SOL_SOCKET,
            trio.socket.SO_RCVBUF,
            receive_buffer_bytes,
        )
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return f"{host}:{port}"


async def open_stream(address):
    """Return a TCP stream to an address."""
    host, _separator, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def reset(stream):
    """Close a stream with a reset instead of an orderly end."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger
    )
    stream.socket.close()
