"""Tests of data centres whose servers are to get nothing more."""

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import entry as entry_module
from greengagetrack.process.direct import evacuations as evacuations_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import test_newest_version

BOUND_S = 2.5
UNKNOWN = outcome_module.Ran.UNKNOWN
WHOLE = direct_outcome.Relayed(200)
STAGES = (catalog.Stage("pool", result_bytes=10),)
STREAM = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, attempts_max=3
)
SERVERS = [
    fakes.new_server("a1"),
    fakes.new_server("a2"),
    fakes.new_server("b1", data_centre="dc-b"),
    fakes.new_server("b2", data_centre="dc-b"),
]
POOLS = [
    fakes.new_server("a-pool", "pool"),
    fakes.new_server("b-pool", "pool", "dc-b"),
]


def _run_values(check):
    async def main(_nursery):
        check(evacuations_module.new_evacuations())

    fakes.run_with_mock_clock(main)


def _update(revision, evacuated=(), readmitted=(), **fields):
    return source_module.Update(
        revision, evacuated=evacuated, readmitted=readmitted, **fields
    )


@pytest.mark.parametrize(
    ("updates", "expected"),
    [
        ([_update(1, ["a"])], {"a"}),
        ([_update(1, ["a"]), _update(2)], {"a"}),
        ([_update(1, ["a"]), _update(2, (), ["a"])], set()),
        ([_update(1, ["a"]), _update(2, is_complete=True)], set()),
        ([_update(1, ["a"]), _update(2, ["a", "b"], is_complete=True)], "ab"),
        # A restored source may lack what nobody has taken back.
        ([_update(5, ["a"]), _update(2, is_complete=True, era=1)], {"a"}),
        ([_update(5, ["a"]), _update(2, (), ["a"], era=1)], set()),
        ([_update(5, (), ["a"]), _update(2, ["a"], era=1)], {"a"}),
    ],
)
def test_source_says_what_is_evacuated(updates, expected):
    def check(evacuations):
        for update in updates:
            evacuations.apply_update(update)
        assert evacuations.data_centres == set(expected)

    _run_values(check)


MESSAGES = strategies.builds(
    direct_messages.Evacuation,
    strategies.sampled_from("ab"),
    strategies.booleans(),
    strategies.integers(0, 2),
    strategies.integers(0, 4),
)


@hypothesis.given(
    messages=strategies.lists(MESSAGES), generator=strategies.randoms()
)
def test_news_never_goes_back(messages, generator):
    """Peers pass words on in any order, and more than once."""
    shuffled = messages * 2
    generator.shuffle(shuffled)
    newest = {}
    for message in messages:
        word = (message.era, message.revision, message.is_evacuated)
        name = message.data_centre
        newest[name] = max(newest.get(name, word), word)

    def check(evacuations):
        for message in shuffled:
            evacuations.apply_messages([message])
        assert evacuations.data_centres == {
            name for name, word in newest.items() if word[2]
        }

    _run_values(check)


def test_readmission_is_told_for_a_time_and_to_those_behind():
    old = direct_messages.Evacuation("a", True, 0, 1)

    async def check(_nursery):
        evacuations = evacuations_module.new_evacuations()
        assert evacuations.new_messages() == []
        evacuations.apply_update(_update(1, ["a"]))
        assert evacuations.new_messages() == [old]
        evacuations.apply_update(_update(2, (), ["a"]))
        for _time in range(2):
            [told] = evacuations.new_messages()
            assert not told.is_evacuated
            await trio.sleep(evacuations_module.READMISSION_TOLD_S)
            assert evacuations.new_messages() == []
            assert not evacuations.apply_messages([old])

    fakes.run_with_mock_clock(check)


class Store(test_newest_version.Store):
    """A store in which a data centre can be evacuated."""

    evacuated = ()

    def evacuate(self, *names):
        """Accept what is evacuated from now on."""
        self.revision += 1
        self.evacuated = names


class Source(test_newest_version.StoreSource):
    """The same as one entry reads it."""

    async def _answer(self, after):
        update = await super()._answer(after)
        if not isinstance(update, source_module.Update):
            return update
        return source_module.Update(
            update.revision,
            update.catalog,
            update.servers,
            update.removed,
            is_complete=update.is_complete,
            era=update.era,
            evacuated=self._store.evacuated,
            readmitted=tuple({"a"} - set(self._store.evacuated)),
        )


@pytest.mark.parametrize("cut_off", [("b-0",), ("a-0", "b-0", "b-1")])
def test_entry_that_cannot_read_the_source_hears_of_an_evacuation(
    monkeypatch, cut_off
):
    """Days had entries that the store turned away as a zone was emptied."""
    monkeypatch.setattr(test_newest_version, "Store", Store)
    monkeypatch.setattr(test_newest_version, "StoreSource", Source)

    async def check(nursery):
        site = test_newest_version.Site(nursery)
        for name in ("b-0", "b-1"):
            node = test_newest_version.Node(site, name, "b")
            site.nodes.append(node)
            site.node_by_address[f"{name}:1"] = node
        site.start_all()
        await trio.sleep(4.0)
        for names in (("a",), ()):
            site.store.turned_away = set(cut_off)
            site.store.evacuate(*names)
            await trio.sleep(BOUND_S)
            for node in site.nodes:
                directory = node.entry.directory
                assert directory.evacuations.data_centres == set(names)
                assert len(directory.get_servers("svc")) == 1

    fakes.run_with_mock_clock(check)


def _play(check, servers, *script):
    async def main(nursery):
        fake_gateway = fakes.FakeGateway(script)
        await check(fakes.FakeEntry(nursery, fake_gateway, servers))

    fakes.run_with_mock_clock(main)


def _evacuate(entry, revision=2):
    message = direct_messages.Evacuation("dc-a", True, 0, revision)
    entry.directory.apply_evacuations([message])


def _get_sent_ids(entry):
    return [server_id for server_id, _request in entry.gateway.sent]


def test_attempts_and_retries_leave_an_evacuated_data_centre():
    async def check(entry):
        _evacuate(entry)
        await entry.serve(fakes.new_route(attempts_max=4))
        assert sorted(_get_sent_ids(entry)) == ["b1", "b2"]
        back = direct_messages.Evacuation("dc-a", False, 0, 3)
        entry.directory.apply_evacuations([back])
        outcome, _reply = await entry.serve(fakes.new_route())
        assert outcome == WHOLE
        assert _get_sent_ids(entry)[-1] in ("a1", "a2")

    failures = [fakes.new_failure(UNKNOWN) for _try in range(2)]
    _play(check, SERVERS, *failures)


def test_running_stream_goes_on_and_is_resumed_elsewhere():
    broken = fakes.ScriptedAnswer(
        200,
        (b"id: 1\n\n", 1.0, b"id: 2\n\n", fakes.new_failure(UNKNOWN)),
        is_events=True,
    )
    rest = fakes.ScriptedAnswer(200, (b"id: 3\n\n",), is_events=True)

    async def check(entry):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_evacuate_after, entry, 0.5)
            outcome, reply = await entry.serve(STREAM)
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
        first, second = _get_sent_ids(entry)
        assert (first[0], second[0]) == ("a", "b")

    _play(check, SERVERS, broken, rest)


async def _evacuate_after(entry, pause_s):
    await trio.sleep(pause_s)
    _evacuate(entry)


def test_silent_server_is_not_given_up_for_an_evacuated_one():
    """No other server may take over, so the wait for the answer goes on."""

    async def check(entry):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_evacuate_after, entry, 0.5)
            outcome, _reply = await entry.serve(fakes.new_route(), left_s=9.0)
        assert outcome == WHOLE
        assert len(entry.gateway.sent) == 1

    _play(check, [SERVERS[0], SERVERS[1]], (6.0, fakes.ScriptedAnswer()))


def test_pieces_that_wait_are_made_elsewhere_and_results_are_read():
    """A call that runs ends; what it made can still be fetched."""
    route = fakes.new_route(stages=STAGES)

    async def check(entry):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_evacuate_after, entry, 0.05)
            nursery.start_soon(_serve, entry, route, b"runs")
            await trio.sleep(0.01)
            nursery.start_soon(_serve, entry, route, b"waits")
        calls = [
            (server_id, pieces[0].request_id)
            for server_id, pieces in entry.gateway.calls
        ]
        assert calls == [("a-pool", "runs"), ("b-pool", "waits")]
        assert all(server_id[0] == "b" for server_id in _get_sent_ids(entry))

    _play(check, [*SERVERS, *POOLS])


async def _serve(entry, route, request_id):
    outcome, _reply = await entry.serve(
        route, request_id=request_id, piece_counts=(1,)
    )
    assert outcome == WHOLE


def test_source_is_read_as_often_as_evacuations_need():
    settings = entry_module.DirectSettings(
        "e", "a", "e:1", (), {}, 5.0, 0.2, 80.0, 10.0, evacuation_bound_s=1.0
    )
    assert settings.get_source_bound_s() == 1.0
