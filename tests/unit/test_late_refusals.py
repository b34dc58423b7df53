"""Agent mode: a word "not run" is about the request that got it."""

import pytest

from greengagetrack.connection import problems
from greengagetrack.request import outcome

PROMISES = {408, 421, 429, 503}


@pytest.mark.parametrize("reason", list(outcome.Reason))
def test_status_of_an_unknown_outcome_promises_nothing(reason):
    """An order that may have run was told 429, by its reason."""
    assert problems.get_status(outcome.Unknown(reason)) not in PROMISES
