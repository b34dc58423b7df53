"""Reading of the platform's configuration service over HTTP."""

import pytest
import trio

from greengagetrack.connection.platform import http as platform_http
from tests.direct import loopback

MANIFEST = b'version = 1\n[documents]\n"rows" = "ab"\n'
HEAD = b"HTTP/1.1 200 OK\r\nX-Revision: 7\r\n"


def _read(response):
    results = []

    async def main():
        async def answer(stream):
            await loopback.read_until(stream, b"\r\n\r\n")
            await stream.send_all(response)
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, answer)
            service = platform_http.new_config_service(f"http://{address}")
            with trio.fail_after(loopback.LIMIT_S):
                results.append(await service.read("manifest"))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


def test_value_with_length_is_read():
    length = b"Content-Length: %d\r\n\r\n" % len(MANIFEST)
    value = _read(HEAD + length + MANIFEST)
    assert (value.revision, value.text) == (7, MANIFEST)


@pytest.mark.parametrize("size", [12, len(MANIFEST)])
def test_value_without_length_is_not_taken_for_complete(size):
    """The first lines of a manifest are a valid manifest."""
    assert _read(HEAD + b"\r\n" + MANIFEST[:size]) is None


@pytest.mark.parametrize("revision", [b"", b"-1", b"\xb2", b"9" * 5000])
def test_value_with_an_odd_revision_is_not_read(revision):
    head = b"HTTP/1.1 200 OK\r\nX-Revision: " + revision
    length = b"\r\nContent-Length: %d\r\n\r\n" % len(MANIFEST)
    assert _read(head + length + MANIFEST) is None
