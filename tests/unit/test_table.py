"""Tests of reading, checking and matching the table."""

import pathlib

import pytest

from greengagetrack.version import folder
from greengagetrack.version import loader

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


def _build(**changes):
    texts = dict(folder.read_folder(EXAMPLES / "kitamura"))
    for key, (old, new) in changes.items():
        assert old in texts[key].decode()
        texts[key] = texts[key].decode().replace(old, new, 1).encode()
    return loader.build_table(loader.write_manifest(3, texts), texts)


@pytest.mark.parametrize("name", ["kitamura", "federation"])
def test_examples_have_no_findings(name):
    table, findings = folder.build_from_folder(EXAMPLES / name)
    assert table is not None
    assert findings == []


@pytest.mark.parametrize(
    ("key", "old", "new", "check_id", "hint"),
    [
        ("pipelines", "deadline_ms", "deadline", "table.E004", "deadline_ms"),
        ("pipelines", "share = 0.05", "share = 'x'", "table.E003", ""),
        ("pipelines", '"encoders"', '"encodrs"', "table.E013", "encoders"),
        ("pipelines", "max_tokens = 160", "", "table.E016", ""),
        ("pipelines", "share = 0.85", "share = 0.95", "table.E012", ""),
        (
            "pipelines",
            "deadline_ms = 5000",
            "deadline_ms = 0",
            "table.E011",
            "",
        ),
        ("rows", "rate_per_s = 80.0", "rate_per_s = -1.0", "table.E023", ""),
        (
            "rows",
            "rate_per_s = 80.0",
            "rate = 1.0",
            "table.E004",
            "rate_per_s",
        ),
        ("rows", "concurrency = 120", "concurrency = 0", "table.E024", ""),
        ("rows", '"engraving"', '"engravin"', "table.E022", "engraving"),
        ("rows", "floor = 0.1", "floor = 2.0", "table.E025", ""),
        ("regions", "share = 0.4", "share = 0.5", "table.E031", "add up to 1"),
        ("services", '"engine"', '"motor"', "table.E003", ""),
        ("services", "[service.orders]", "[service.orders", "table.E002", ""),
    ],
)
def test_error_rejects_the_table(key, old, new, check_id, hint):
    table, findings = _build(**{key: (old, new)})
    assert table is None
    assert check_id in [finding.id for finding in findings]
    assert any(hint in finding.hint for finding in findings)


def test_missing_document_rejects_the_table():
    texts = dict(folder.read_folder(EXAMPLES / "kitamura"))
    manifest = loader.write_manifest(1, texts)
    del texts["rows"]
    table, findings = loader.build_table(manifest, texts)
    assert table is None
    assert findings[0].id == "table.E006"


def test_document_with_different_digest_rejects_the_table():
    texts = dict(folder.read_folder(EXAMPLES / "kitamura"))
    manifest = loader.write_manifest(1, texts)
    texts["rows"] += b"\n"
    table, findings = loader.build_table(manifest, texts)
    assert table is None
    assert findings[0].id == "table.E007"


def test_most_specific_row_applies():
    table, _findings = _build()
    large = table.get_row("product-sheet", "workshop", "night")
    standard = table.get_row("product-sheet", "wholesale", "night")
    other = table.get_row("shipping-slip", "wholesale", "night")
    assert large.organisation == "plan:large"
    assert standard.organisation == "*" and standard.priority == 1
    assert other.pipeline == "*"


def test_table_of_an_agent_has_no_organisations():
    texts = dict(folder.read_folder(EXAMPLES / "kitamura"))
    manifest = loader.write_manifest(1, texts)
    del texts["organisations/00"]
    table, findings = loader.build_table(manifest, texts, is_partial=True)
    assert table is not None
    assert table.get_organisation_count() == 0
    assert {finding.level for finding in findings} <= {"warning"}
