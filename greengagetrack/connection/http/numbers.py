"""Readers of numbers that other processes write.

`Count` is the type of a field that holds a version or a number of things.
`str.isdigit` also accepts digits that aren't ASCII ones, and `int` and
`float` raise for some of these and for thousands of digits. These functions
raise nothing.
"""

import re
from typing import Annotated

import msgspec

# What a 64-bit field of a message can hold.
COUNT_MAX = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]

_DIGITS = re.compile(r"[0-9]+")
_DECIMAL = re.compile(
    r"(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?"
)
TEXT_MAX = 400


def read_count(text, maximum):
    """Return the whole number in ASCII digits, or None.

    `text` is `str` or `bytes`; white space and signs aren't accepted::

        assert read_count(b"0042", 100) == 42
        assert read_count("101", 100) is None
        assert read_count("\\u00b2", 100) is None
    """
    text = _to_ascii(text)
    if text is None or not _DIGITS.fullmatch(text):
        return None
    digits = text.lstrip("0")
    # Checked before `int`, which raises for thousands of digits.
    if len(digits) > len(str(maximum)):
        return None
    count = int(digits or "0")
    return count if count <= maximum else None


def read_decimal(text, maximum):
    """Return the finite number from 0 to `maximum`, or None.

    `text` is `str` or `bytes`; a point and an exponent are accepted::

        assert read_decimal("2.5", 10) == 2.5
        assert read_decimal("1e999", 10) is None
        assert read_decimal("nan", 10) is None
    """
    text = _to_ascii(text)
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if number <= maximum else None


def _to_ascii(text):
    """Return a short ASCII text as `str`, or None."""
    if len(text) > TEXT_MAX or not text.isascii():
        return None
    return text if isinstance(text, str) else text.decode("ascii")
