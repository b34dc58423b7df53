"""Reading of the tests that KNOWN-RED.txt lists."""

from tests import known_red

TEXT = """What is known not to hold.

- tests/unit/test_a.py::test_one: seen at abc, issue 1.
- tests/unit/test_a.py::test_two[x-1]: the same, tests/unit/test_a.py::no.
- greengagebench run orders: no test.
"""


def test_only_entries_that_begin_with_a_test_id_are_read():
    assert known_red.read_test_ids(TEXT) == [
        "tests/unit/test_a.py::test_one",
        "tests/unit/test_a.py::test_two[x-1]",
    ]


def test_a_listed_test_that_does_not_exist_is_found():
    test_ids = known_red.read_test_ids(TEXT)
    collected = ["tests/unit/test_a.py::test_one"]
    assert known_red.find_unknown_ids(test_ids, collected) == [test_ids[1]]
    assert known_red.find_unknown_ids(test_ids, ["tests/b.py::test_c"]) == []
