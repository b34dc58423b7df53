"""Fuzz tests of every decoder: no input may make one raise.

The profile fixes the seed. GREENGAGETRACK_FUZZ_EXAMPLES sets the number of
examples, for a long run.
"""

import os

import hypothesis
from hypothesis import strategies
import msgspec

from greengagetrack.connection import agent_messages
from greengagetrack.connection.backend import http as backend_http
from greengagetrack.connection import messages
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.connection.platform import http as platform_http
from greengagetrack.connection import seal
from greengagetrack.request import ticket
from greengagetrack.version import loader

EXAMPLES = int(os.environ.get("GREENGAGETRACK_FUZZ_EXAMPLES", "300"))
KEY_RING = seal.new_key_ring([b"0123456789abcdef"])
VALID_MESSAGES = (
    agent_messages.Submit(
        agent_messages.AttemptId("e", 1), "i", "s", 100, b"{}"
    ),
    agent_messages.Digest("e", "i", 1, unchanged=[1, 2]),
    agent_messages.Chunk("started", 0, ["a "], load=agent_messages.Load()),
)

fuzz = hypothesis.settings(max_examples=EXAMPLES, deadline=None)
any_bytes = strategies.binary(max_size=512)


@strategies.composite
def mutated_messages(draw):
    """Return a valid message with bytes changed, truncated at random."""
    body = bytearray(
        messages.encode(draw(strategies.sampled_from(VALID_MESSAGES)))
    )
    for _change in range(draw(strategies.integers(0, 4))):
        index = draw(strategies.integers(0, len(body) - 1))
        body[index] = draw(strategies.integers(0, 255))
    return bytes(body[: draw(strategies.integers(0, len(body)))])


@fuzz
@hypothesis.given(strategies.one_of(any_bytes, mutated_messages()))
def test_peer_messages_are_decoded_or_refused(body):
    request = messages.decode_request(body)
    assert isinstance(request, messages.REQUESTS | messages.Malformed)
    reply = messages.decode_reply(body)
    assert isinstance(reply, messages.REPLIES | messages.Malformed)


def test_an_oversized_message_is_refused():
    body = b"x" * (messages.MESSAGE_MAX_BYTES + 1)
    assert isinstance(messages.decode_request(body), messages.Malformed)


def test_appended_fields_of_a_newer_message_are_ignored():
    body = msgspec.msgpack.encode(["ask_promise", "s", "k", "a", "new", 7])
    assert messages.decode_request(body) == agent_messages.PromiseRequest(
        "s", "k", "a"
    )


@fuzz
@hypothesis.given(any_bytes)
def test_unsealed_bytes_do_not_open(body):
    assert KEY_RING.open(body) is None


@fuzz
@hypothesis.given(strategies.binary(max_size=64), strategies.data())
def test_a_changed_sealed_message_does_not_open(body, data):
    sealed = bytearray(KEY_RING.seal(body))
    index = data.draw(strategies.integers(0, len(sealed) - 1))
    sealed[index] ^= data.draw(strategies.integers(1, 255))
    assert KEY_RING.open(bytes(sealed)) is None


def test_keys_rotate_without_rejected_messages():
    old = seal.new_key_ring([b"o" * 16])
    both = seal.new_key_ring([b"n" * 16, b"o" * 16])
    new = seal.new_key_ring([b"n" * 16])
    assert both.open(old.seal(b"body")) == b"body"
    assert new.open(both.seal(b"body")) == b"body"
    assert new.open(old.seal(b"body")) is None


def test_a_reply_is_valid_only_for_its_own_request():
    sealed = KEY_RING.seal(b"answer", context=b"question")
    assert KEY_RING.open(sealed, context=b"question") == b"answer"
    assert KEY_RING.open(sealed, context=b"another") is None


@fuzz
@hypothesis.given(strategies.text(max_size=200))
def test_a_forged_ticket_is_not_read(token):
    assert ticket.read_ticket(token, KEY_RING) is None


@fuzz
@hypothesis.given(any_bytes)
def test_manifests_and_documents_are_read_or_refused(text):
    result = loader.read_manifest(text)
    assert isinstance(result, loader.Manifest | list)
    manifest = loader.write_manifest(1, {"d": text})
    table, findings = loader.build_table(manifest, {"d": text})
    assert (table is None) == any(
        finding.level == "error" for finding in findings
    )


@fuzz
@hypothesis.given(strategies.one_of(any_bytes.map(repr), strategies.text()))
def test_engine_lines_are_decoded_or_refused(line):
    decoded = backend_http.decode_line(line)
    assert decoded is None or decoded.offset is not None


@fuzz
@hypothesis.given(any_bytes)
def test_vm_lists_are_decoded_or_refused(body):
    decoded = platform_http.decode_vm_list(body)
    expected = platform_base.VmList | platform_base.Unreachable
    assert isinstance(decoded, expected)
