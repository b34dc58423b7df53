"""Tests of the commands `explain logs` and `check` of greengagectl."""

import json

import pytest

from greengagetrack.command import greengagectl
from greengagetrack.command import request_log


def _line(second, process, message, **fields):
    fields = {
        "time": f"2026-12-04T04:00:{second:06.3f}+00:00",
        "process": process,
        "message": message,
        **fields,
    }
    return json.dumps(fields)


def test_lines_of_several_processes_are_sorted_by_time(tmp_path, capsys):
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
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 3
    assert "a server chosen: server=s" in printed[0].replace("request=r1 ", "")
    assert "b pieces made" in printed[1]
    assert "a request ended" in printed[2]


def test_request_without_lines_is_reported(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(_line(1, "a", "started"))
    with pytest.raises(SystemExit) as stop:
        greengagectl.explain_logs("r1", str(log))
    assert stop.value.code == greengagectl.EXIT_FINDINGS


def test_line_without_json_object_is_none():
    assert request_log.parse_line("plain text") is None
    assert request_log.parse_line("{broken") is None
    assert request_log.parse_line("[1]") is None


def test_published_document_is_checked(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text('{"version": 3}')
    greengagectl.check(str(path))
    assert "version 3" in capsys.readouterr().out
    path.write_text('{"version": "x"}')
    with pytest.raises(SystemExit):
        greengagectl.check(str(path))
