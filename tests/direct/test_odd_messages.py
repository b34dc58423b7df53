"""What odd messages of peers leave of an entry that reads them."""

import math

import msgspec
import pytest
import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.connection import direct_messages
from greengagetrack.connection import gateway
from greengagetrack.connection import messages
from greengagetrack.connection import nng
from greengagetrack.connection import source
from greengagetrack.request.direct import piece as piece_module
from tests.direct import fakes
from tests.direct import test_peers

HUGE = 2**64 - 1
LIMIT = direct_messages.ServerLimit("s1", 0, 2.0, 0, "other/1", 1)
MEMBER = direct_messages.Member("b-1", "b-1:1")
CENTRE = direct_messages.CentreDigest("b", 0, [MEMBER])
HOLD = direct_messages.PartHold("p", 0, 0)
CRASHED = direct_messages.CrashedRequest("s1/0", 0, "r", ["p"], True)
SOUND = direct_messages.SoundPart("p", 0)
ODD_DIGESTS = [
    {"weight": math.nan},
    {"weight": math.inf},
    {"weight": -1.0},
    {"freshness_age_s": math.nan},
    {"freshness_age_s": math.inf},
    {"freshness_age_s": 1e300},
    {"catalog_version": -1},
    {"catalog_version": HUGE},
    {"peers_known": HUGE},
    {"started_ms": -1},
    {"earlier_life": direct_messages.EarlierLife(-1, False)},
    {"earlier_life": direct_messages.EarlierLife(HUGE, False)},
    {"loads": [("s1", HUGE, 0)]},
    {"loads": [("s1", -1, 0)]},
    {"loads": [("s1", 1, HUGE)]},
    {"waits": [direct_messages.PoolWait("s", HUGE)]},
    {"waits": [direct_messages.PoolWait("s", 0, [(HUGE, 0, 0)])]},
] + [
    {field: [msgspec.structs.replace(sound, **{name: value})]}
    for field, sound, name, value in (
        ("limits", LIMIT, "limit_per_s", math.nan),
        ("limits", LIMIT, "limit_per_s", math.inf),
        ("limits", LIMIT, "limit_per_s", -1.0),
        ("limits", LIMIT, "limit_per_s", 1e300),
        ("limits", LIMIT, "age_ms", HUGE),
        ("limits", LIMIT, "age_ms", -1000),
        ("limits", LIMIT, "number", HUGE),
        ("centres", CENTRE, "age_ms", -1000),
        ("centres", CENTRE, "age_ms", HUGE),
        (
            "centres",
            CENTRE,
            "members",
            [direct_messages.Member("b", "b:1", age_ms=-1)],
        ),
        (
            "centres",
            CENTRE,
            "members",
            [direct_messages.Member("b", "b:1", weight=math.nan)],
        ),
        ("centres", CENTRE, "loads", [("s1", HUGE, 0)]),
    )
]
ODD_VERSIONS = [
    {field: version}
    for field in ("newest_version", "newest_era", "confirmed_era")
    for version in (-1, HUGE)
]
ODD_NEWS = [
    direct_messages.CrashNews(holds=[direct_messages.PartHold("p", HUGE, 0)]),
    direct_messages.CrashNews(holds=[direct_messages.PartHold("p", 0, -1)]),
    direct_messages.CrashNews(sound=[direct_messages.SoundPart("p", -1)]),
    direct_messages.CrashNews(
        crashed=[direct_messages.CrashedRequest("s1/0", -1, "r", ["p"], True)]
    ),
]
ODD_ADDRESSES = [
    "",
    "x",
    ":1",
    "h:0",
    "h:99999",
    "h:\u0663",
    "h:" + "1" * 5000,
    "h\0:1",
    "a b:1",
    "h:1/x",
    "h" * 5000 + ":1",
]
ODD_PIECES = [
    {"numbers": []},
    {"numbers": [-1]},
    {"result_bytes": -1},
    {"left_ms": HUGE},
    {"due_ms": HUGE},
    {"priority": HUGE},
]


def _check_peers(check):
    """Run `check(peers, pools)` with an entry of two, on a mock clock."""

    async def main(_nursery):
        fleet = test_peers.Fleet(("a",), 2)
        node = fleet.node_by_address["a-0:1"]
        servers = (fakes.new_server("s1"),)
        node.directory.apply_update(
            source.Update(1, servers=servers, is_complete=True)
        )
        check(node)

    fakes.run_with_mock_clock(main)


def _new_digest(**fields):
    return direct_messages.EntryDigest("a-1", "a-1:1", "a", **fields)


def _pass(node, digest):
    """Return whether an entry takes a digest, as it reads it."""
    decoded = messages.decode_request(messages.encode(digest))
    if isinstance(decoded, messages.Malformed):
        return False
    reply = node.peers._handle_digest(decoded)
    # What is passed on must fit the next message.
    messages.encode(reply)
    return True


@pytest.mark.parametrize(
    "fields",
    ODD_DIGESTS + ODD_VERSIONS + [{"crash_news": news} for news in ODD_NEWS],
)
def test_odd_digest_is_refused_and_the_next_one_read(fields):
    def check(node):
        assert not _pass(node, _new_digest(**fields))
        sound = direct_messages.CrashNews([CRASHED], [HOLD], [SOUND])
        assert _pass(
            node,
            _new_digest(
                limits=[LIMIT],
                centres=[CENTRE],
                crash_news=sound,
                freshness_age_s=-1.0,
                loads=[("s1", 3, 2000)],
            ),
        )

    _check_peers(check)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_of_a_peer_is_never_dialled(address):
    def check(node):
        assert _pass(node, _new_digest(peers=[address, "a-9:1"]))
        assert address not in node.peers.members.peer_by_address
        assert "a-9:1" in node.peers.members.peer_by_address

    _check_peers(check)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
@pytest.mark.parametrize("data_centre", ["a", "b"])
def test_odd_address_in_a_centre_is_never_dialled(data_centre, address):
    members = [
        direct_messages.Member("x", address),
        direct_messages.Member("y", "y:1"),
    ]
    centre = direct_messages.CentreDigest(data_centre, 0, members)

    def check(node):
        assert _pass(node, _new_digest(centres=[centre]))
        assert address not in node.peers.members.peer_by_address
        assert "y:1" in node.peers.members.peer_by_address

    _check_peers(check)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_digest_from_an_odd_address_is_rejected(address):
    def check(node):
        digest = direct_messages.EntryDigest(
            "a-1", address, "a", peers=["a-9:1"]
        )
        reply = node.peers._handle_digest(digest)
        assert isinstance(reply, messages.Rejected)
        assert address not in node.peers.members.peer_by_address
        assert "a-9:1" not in node.peers.members.peer_by_address

    _check_peers(check)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_link_to_an_odd_address_is_down_and_raises_nothing(address):
    async def main():
        link = nng.new_link_factory(fakes.KEYS).open_link(address)
        reply = await link.request(agent_messages.FetchManifest(), 0.1)
        assert isinstance(reply, base.NotSent)
        link.close()

    trio.run(main)


@pytest.mark.parametrize("fields", ODD_PIECES)
def test_odd_request_for_pieces_is_refused(fields):
    sound = direct_messages.MakePieces("s", "a", "r", 0, [0], 100, 100)
    odd = msgspec.structs.replace(sound, **fields)
    assert messages.decode_request(messages.encode(sound)) == sound
    decoded = messages.decode_request(messages.encode(odd))
    assert isinstance(decoded, messages.Malformed)


@pytest.mark.parametrize(
    "handle", ["a\nb", "a\0", "a,b", " a", "h" * 257, "h" * 5000]
)
def test_piece_with_a_handle_that_fits_no_header_has_failed(handle):
    def check(node):
        tasks = [
            piece_module.PieceTask("r", 0, number, "k", None)
            for number in range(2)
        ]
        reply = direct_messages.MakePiecesReply(
            [
                direct_messages.PieceResult(handle, "s1"),
                direct_messages.PieceResult("10.0.0.1:80/7f", "s1"),
            ]
        )
        node.peers._apply_reply(tasks, reply)
        assert tasks[0].result is gateway.PieceFailure.ERROR
        assert tasks[1].result == "10.0.0.1:80/7f"

    _check_peers(check)
