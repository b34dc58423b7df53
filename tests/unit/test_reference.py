"""Tests that the generated reference pages match the code."""

import pytest

from bench import reference
from greengagetrack.request import outcome


@pytest.mark.parametrize("name", sorted(reference.PAGES))
def test_reference_page_is_up_to_date(name):
    written = (reference.FOLDER / name).read_text(encoding="utf-8")
    assert written == reference.PAGES[name](), (
        "run 'greengagebench reference' and commit the pages it writes"
    )


def test_every_reason_has_advice():
    assert set(reference.ADVICE_BY_REASON) == set(outcome.Reason)


def test_every_step_is_listed():
    page = reference.get_scenarios_page()
    assert page.count("- *") >= 40
