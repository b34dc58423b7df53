"""Tests of the readers of numbers from outside."""

import hypothesis
from hypothesis import strategies
import pytest

from greengagetrack.connection.http import numbers

NO_COUNTS = (
    "",
    " 1",
    "1 ",
    "1\n",
    "+1",
    "-1",
    "1_0",
    "1.0",
    "\u00b2",
    "\u0663",
    "\uff11",
    "9" * 5000,
    "101",
    b"\xb2",
    b"\xff1",
)
NO_DECIMALS = (
    "",
    ".",
    "nan",
    "inf",
    "-1",
    "-0",
    "1e999",
    "1e5000",
    "1_0",
    " 1",
    "1\n",
    "0x1",
    "\u0663",
    "9" * 5000,
    "100.5",
    b"\xb2",
)
TEXTS = strategies.one_of(
    strategies.text(),
    strategies.binary(),
    strategies.text("0123456789+-._eEinfa\u00b2\u0663 \n"),
)


@pytest.mark.parametrize("text", NO_COUNTS)
def test_text_is_no_count(text):
    assert numbers.read_count(text, 100) is None


@pytest.mark.parametrize(
    "text, count",
    [("0", 0), (b"7", 7), ("000042", 42), ("0" * 300 + "9", 9), ("100", 100)],
)
def test_count(text, count):
    assert numbers.read_count(text, 100) == count


@pytest.mark.parametrize("text", NO_DECIMALS)
def test_text_is_no_decimal(text):
    assert numbers.read_decimal(text, 100) is None


@pytest.mark.parametrize(
    "text, number",
    [("0", 0), (b"2.5", 2.5), ("3.", 3), (".5", 0.5), ("1e2", 100)],
)
def test_decimal(text, number):
    assert numbers.read_decimal(text, 100) == number


@hypothesis.given(TEXTS, strategies.integers(0, 2**70))
def test_any_text_gives_a_number_in_range_or_none(text, maximum):
    for read in (numbers.read_count, numbers.read_decimal):
        number = read(text, maximum)
        assert number is None or 0 <= number <= maximum
