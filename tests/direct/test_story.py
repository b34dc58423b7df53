"""A request's story out of the logs of several processes."""

import json

import pytest

from greengagetrack.command import greengagectl
from greengagetrack.command import story


def _line(moment, process, message, **fields):
    fields = {
        "time": f"2026-12-04T04:00:{moment:06.3f}+00:00",
        "process": process,
        "message": message,
        **fields,
    }
    return json.dumps(fields)


def test_lines_of_all_processes_come_in_their_order(tmp_path, capsys):
    first = tmp_path / "a.log"
    first.write_text(
        _line(3, "a", "request ended", request="r1")
        + "\n"
        + _line(1, "a", "server chosen", request="r1", server="s")
        + "\nnot JSON r1 {\n"
        + _line(2, "a", "server chosen", request="r2")
    )
    second = tmp_path / "b.log"
    second.write_text(
        "  1.5 b " + _line(2, "b", "pieces made", requests=["r2", "r1"])
    )
    greengagectl.explain_logs("r1", str(first), str(second))
    told = capsys.readouterr().out.splitlines()
    assert len(told) == 3
    assert "a server chosen: server=s" in told[0].replace("request=r1 ", "")
    assert "b pieces made" in told[1]
    assert "a request ended" in told[2]


def test_a_request_that_no_line_names_is_said_so(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(_line(1, "a", "started"))
    with pytest.raises(SystemExit) as ended:
        greengagectl.explain_logs("r1", str(log))
    assert ended.value.code == greengagectl.EXIT_FINDINGS


def test_a_line_that_is_no_json_is_none():
    assert story.read_line("plain text") is None
    assert story.read_line("{broken") is None
    assert story.read_line("[1]") is None


def test_a_published_document_is_checked(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text('{"version": 3}')
    greengagectl.check(str(path))
    assert "version 3" in capsys.readouterr().out
    path.write_text('{"version": "x"}')
    with pytest.raises(SystemExit):
        greengagectl.check(str(path))
