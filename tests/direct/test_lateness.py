"""What the log says of why an answer was late."""

import logging

import pytest

from greengagetrack.request.direct import lateness
from tests.direct import fakes

Cause = lateness.Cause


@pytest.mark.parametrize(
    ("times", "cause"),
    [
        ({"first_event_s": 0.9, "stages_s": 0.8}, Cause.NONE),
        ({"first_event_s": 1.1, "stages_s": 0.8}, Cause.STAGES),
        ({"first_event_s": 1.1, "stages_s": 0.3}, Cause.SERVER),
        ({"first_event_s": 0.4, "queued_s": 0.7}, Cause.ENTRY),
        ({"first_event_s": 0.4, "pause_s": 0.31}, Cause.PAUSE),
        ({"spent_s": 1.2}, Cause.SERVER),
    ],
)
def test_cause_is_the_part_that_took_longest(times, cause):
    times = lateness.RunTimes(**{"spent_s": 1.0, **times})
    assert lateness.find_cause(times, 1.0, 0.3) is cause


def test_pause_between_events_is_logged_and_counted(caplog):
    caplog.set_level(logging.INFO)
    script = [
        fakes.ScriptedAnswer(
            parts=(b"id: 1\n\n", 0.5, b"id: 2\n\n"), is_events=True
        )
    ]

    async def check(nursery):
        server = fakes.new_server("s1")
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(script), [server])
        route = fakes.new_route(
            name="draft", is_resumable=True, target_gap_ms=300
        )
        await entry.serve(route)
        body, _headers = entry.services.metrics.render([])
        assert b'cause="pause"' in body

    fakes.run_with_mock_clock(check)
    ended = [r for r in caplog.records if r.message == "request ended"]
    assert [(r.late, r.pause_ms) for r in ended] == [("pause", 500.0)]
