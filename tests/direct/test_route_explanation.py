"""Tests of the explanation of where a request would go."""

import msgspec

from greengagetrack.command import route_report
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import route_explanation
from greengagetrack.version import catalog
from tests.direct import fakes

SERVERS = [
    fakes.new_server("busy"),
    fakes.new_server("idle"),
    fakes.new_server("leaving", is_leaving=True),
    fakes.new_server("south", data_centre="dc-b"),
    fakes.new_server("maker", "pool"),
    fakes.new_server("far-maker", "pool", "dc-b"),
]
ROUTE = fakes.new_route(
    allowed_regions=frozenset({"north"}),
    stages=(catalog.Stage("pool", result_bytes=10),),
)


def _explain(entry, **fields):
    question = route_explanation.Question(
        **{"host": ROUTE.host, "path": ROUTE.prefix, **fields}
    )
    sources = route_explanation.Sources(
        entry.eligibilities, entry.directory, entry.chooser, entry.pools
    )
    return route_explanation.explain(question, entry.catalog, sources)


def _run(check, route=ROUTE):
    async def main(nursery):
        current = fakes.new_catalog(1, [route])
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(), SERVERS, current)
        await check(entry)

    fakes.run_with_mock_clock(main)


def test_each_server_has_a_cost_or_a_reason():
    async def check(entry):
        entry.directory.server_by_id["busy"].outstanding = 3
        explanation = _explain(entry)
        reasons = {one.server: one.excluded for one in explanation.servers}
        assert reasons == {
            "idle": "",
            "busy": "",
            "leaving": "leaving",
            "south": "region",
        }
        assert explanation.servers[0].server == "idle"
        assert explanation.servers[0].is_chosen
        # The question leaves nothing behind, and is answered truly.
        await entry.serve(ROUTE, piece_counts=(0,))
        assert [name for name, _sent in entry.gateway.sent] == ["idle"]

    _run(check)


def test_stages_name_the_data_centres_that_may_make_pieces():
    async def check(entry):
        (stage,) = _explain(entry).stages
        assert stage.seconds_by_data_centre.keys() == {"dc-a"}
        assert stage.excluded_by_data_centre == {"dc-b": "region"}
        update = source_module.Update(2, evacuated=("dc-a",))
        entry.directory.apply_update(update)
        explanation = _explain(entry)
        assert explanation.refused == "no server may get it"
        assert explanation.stages[0].excluded_by_data_centre == {
            "dc-a": "evacuated",
            "dc-b": "region",
        }

    _run(check)


def test_a_question_without_an_answer_says_why():
    async def check(entry):
        assert "no route" in _explain(entry, path="nowhere").refused
        assert "holds no key" in _explain(entry, organisation="x").refused

    _run(check)


def test_questions_are_read_from_a_query():
    query = b"host=h&path=%2Fp%2F&parts=a:10,b:x,c:5&organisation=o"
    assert route_explanation.read_question(query) == (
        route_explanation.Question("h", "/p/", "o", (("a", 10), ("c", 5)))
    )
    assert route_explanation.read_question(b"\xff&x=1") == (
        route_explanation.Question()
    )


def test_the_report_names_the_chosen_server():
    async def check(entry):
        sent = msgspec.json.encode(_explain(entry))
        lines = route_report.format_lines(msgspec.json.decode(sent))
        assert lines[1] == "bound to regions: north"
        chosen = [line for line in lines if line.startswith("->")]
        assert len(chosen) == 1
        assert "   south (dc-b): nothing, region" in lines

    _run(check)
