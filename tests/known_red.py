"""A pytest plugin for the tests that KNOWN-RED.txt lists.

An entry that begins with a test id, such as
`- tests/unit/test_x.py::test_y: ...`, marks this test as an expected
failure. It fails the run when it passes, so that the entry has to be removed
with the fix.
"""

import pathlib
import re

import pytest

LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

_TEST_ID = re.compile(
    r"^- (tests/[\w/]+\.py::\w+(?:\[[^\]]*\])?)", re.MULTILINE
)


def read_test_ids(text):
    """Return the ids of the tests that a list names, in its order."""
    return _TEST_ID.findall(text)


def find_unknown_ids(test_ids, collected_ids):
    """Return the ids that are missing in files of which tests were found.

    A run of a few files doesn't collect the tests of the others.
    """
    paths = {test_id.partition("::")[0] for test_id in collected_ids}
    return [
        test_id
        for test_id in test_ids
        if test_id.partition("::")[0] in paths and test_id not in collected_ids
    ]


def pytest_collection_modifyitems(config, items):
    """Mark the listed tests as expected failures."""
    test_ids = read_test_ids(LIST_PATH.read_text())
    item_by_id = {item.nodeid: item for item in items}
    is_narrowed = any("::" in argument for argument in config.args)
    unknown_ids = find_unknown_ids(test_ids, item_by_id)
    if unknown_ids and not is_narrowed:
        raise pytest.UsageError(
            f"{LIST_PATH.name} lists tests that don't exist: "
            + ", ".join(unknown_ids)
        )
    for test_id in test_ids:
        if test_id in item_by_id:
            mark = pytest.mark.xfail(reason=LIST_PATH.name, strict=True)
            item_by_id[test_id].add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that were passed over."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known red: {report.nodeid}")
