"""Reads the documents of a table, and builds and checks a `Table`."""

import hashlib
import sys
import tomllib

import msgspec

from greengagetrack.version import checks
from greengagetrack.version import rows
from greengagetrack.version import table as table_module

DIGEST_BYTES = 16


class Manifest(msgspec.Struct, frozen=True):
    """The digest of each document of a version, by its key."""

    version: int
    documents: dict[str, str]


class _Document(msgspec.Struct, frozen=True):
    """The sections of one document."""

    service: dict[str, rows.Service] = {}
    pipeline: dict[str, rows.Pipeline] = {}
    row: list[rows.Row] = []
    region: dict[str, rows.Region] = {}
    organisation: dict[str, rows.Organisation] = {}
    policy: rows.Policy | None = None


_STRUCT_BY_SECTION = {
    "service": rows.Service,
    "pipeline": rows.Pipeline,
    "row": rows.Row,
    "region": rows.Region,
    "organisation": rows.Organisation,
    "policy": rows.Policy,
}


def get_digest(text):
    """Return the digest of a document, as written in the manifest."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def read_manifest(text):
    """Return the `Manifest` in `text`, or a list of findings."""
    where = "Document 'manifest'"
    try:
        manifest = msgspec.toml.decode(text, type=Manifest)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return [checks.new_error("table.E001", where, str(error))]
    if manifest.version < 1:
        message = f"'version' must be 1 or more, not {manifest.version}"
        return [checks.new_error("table.E001", where, message)]
    return manifest


def write_manifest(version, text_by_key):
    """Return the text of the manifest of the documents `text_by_key`."""
    lines = [f"version = {version}", "", "[documents]"]
    for key in sorted(text_by_key):
        lines.append(f'"{key}" = "{get_digest(text_by_key[key])}"')
    return ("\n".join(lines) + "\n").encode()


def _read_document(key, text, findings):
    where = f"Document '{key}'"
    if len(text) > table_module.DOCUMENT_MAX_BYTES:
        message = f"{len(text)} bytes exceed the configuration service's limit"
        hint = "Split it into more documents."
        findings.append(checks.new_error("table.E005", where, message, hint))
        return _Document()
    try:
        raw = tomllib.loads(text.decode())
    except (ValueError, RecursionError) as error:
        findings.append(checks.new_error("table.E002", where, str(error)))
        return _Document()
    unknown_settings = _find_unknown_settings(where, raw)
    findings += unknown_settings
    if unknown_settings:
        return _Document()
    try:
        return msgspec.convert(raw, _Document, strict=True)
    except msgspec.ValidationError as error:
        findings.append(checks.new_error("table.E003", where, str(error)))
        return _Document()


def _find_unknown_settings(where, raw):
    findings = _check_names(where, raw, _STRUCT_BY_SECTION)
    for section, struct in _STRUCT_BY_SECTION.items():
        value = raw.get(section, {})
        items = value.items() if isinstance(value, dict) else ()
        if section == "policy":
            items = ((section, value),)
        elif isinstance(value, list):
            items = ((str(i), item) for i, item in enumerate(value, 1))
        for name, item in items:
            item_where = f"{where}, {section} '{name}'"
            findings += _check_fields(item_where, item, struct)
    return findings


def _check_fields(where, item, struct):
    if not isinstance(item, dict):
        return []
    fields = [field.name for field in msgspec.structs.fields(struct)]
    findings = _check_names(where, item, fields)
    if struct is rows.Pipeline and isinstance(item.get("stage"), list):
        for index, stage in enumerate(item["stage"], 1):
            stage_where = f"{where} stage {index}"
            findings += _check_fields(stage_where, stage, rows.Stage)
    return findings


def _check_names(where, names, known):
    return [
        checks.new_error(
            "table.E004",
            where,
            f"there is no setting '{name}'",
            checks.get_nearest_hint(name, known),
        )
        for name in names
        if name not in known
    ]


def needs_document(key, with_organisations):
    """Return whether a process needs the document `key`."""
    lists_organisations = key.startswith(table_module.ORGANISATIONS_PREFIX)
    return with_organisations or not lists_organisations


def build_table(
    manifest_text, text_by_key, document_by_digest=None, is_partial=False
):
    """Return `(table, findings)`; the table is None if it is rejected.

    `text_by_key` holds the documents that the manifest lists, as bytes. The
    table is rejected if one is missing or has a different digest.
    `document_by_digest` caches decoded documents, so that the next version
    decodes only those that changed. The table of an agent is partial: it
    has no organisations.
    """
    manifest = read_manifest(manifest_text)
    if isinstance(manifest, list):
        return None, manifest
    if is_partial:
        manifest = _drop_organisations(manifest)
    findings = _check_documents(manifest, text_by_key)
    cache = document_by_digest if document_by_digest is not None else {}
    decoded = []
    for key in sorted(manifest.documents):
        if key in text_by_key:
            decoded.append(
                _read_cached(key, text_by_key[key], cache, findings)
            )
    for digest in set(cache) - set(manifest.documents.values()):
        del cache[digest]
    table = _merge(manifest, manifest_text, text_by_key, decoded, findings)
    if not checks.has_errors(findings):
        findings += checks.run_checks(table)
    if checks.has_errors(findings):
        return None, findings
    return table, findings


def _drop_organisations(manifest):
    documents = {
        key: digest
        for key, digest in manifest.documents.items()
        if needs_document(key, with_organisations=False)
    }
    return Manifest(manifest.version, documents)


def _read_cached(key, text, cache, findings):
    digest = get_digest(text)
    if digest not in cache:
        document_findings = []
        document = _read_document(key, text, document_findings)
        findings += document_findings
        if document_findings:
            return document
        cache[digest] = document
    return cache[digest]


def _check_documents(manifest, text_by_key):
    findings = []
    for key, digest in manifest.documents.items():
        where = f"Document '{key}'"
        if key not in text_by_key:
            findings.append(
                checks.new_error(
                    "table.E006", where, "the document is missing"
                )
            )
        elif get_digest(text_by_key[key]) != digest:
            message = "its digest differs from the one in the manifest"
            hint = "Publish the documents first and the manifest last."
            findings.append(
                checks.new_error("table.E007", where, message, hint)
            )
    return findings


def _merge(manifest, manifest_text, text_by_key, decoded, findings):
    service_by_name = {}
    pipeline_by_name = {}
    region_by_name = {}
    organisation_by_name = {}
    row_list = []
    policy = rows.Policy()
    for document in decoded:
        for merged, section in (
            (service_by_name, document.service),
            (pipeline_by_name, document.pipeline),
            (region_by_name, document.region),
            (organisation_by_name, document.organisation),
        ):
            _merge_section(merged, section, findings)
        row_list += document.row
        policy = document.policy or policy
    plan_by_organisation = {
        sys.intern(name): sys.intern(organisation.plan)
        for name, organisation in organisation_by_name.items()
    }
    listed_text_by_key = {
        key: text_by_key[key]
        for key in manifest.documents
        if key in text_by_key
    }
    return table_module.Table(
        manifest.version,
        manifest_text,
        listed_text_by_key,
        service_by_name,
        pipeline_by_name,
        row_list,
        region_by_name,
        plan_by_organisation,
        policy,
    )


def _merge_section(merged, section, findings):
    for name in section:
        if name in merged:
            message = "it is defined in two documents"
            findings.append(
                checks.new_error("table.E008", f"'{name}'", message)
            )
    merged.update(section)
