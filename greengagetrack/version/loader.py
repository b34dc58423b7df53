"""Reads the documents of a table and builds a `Table`, or says why not."""

import hashlib
import sys
import tomllib

import msgspec

from greengagetrack.version import checks
from greengagetrack.version import rows
from greengagetrack.version import table as table_module

DIGEST_BYTES = 16


class Manifest(msgspec.Struct, frozen=True):
    """The list of a version's documents: key to digest."""

    version: int
    documents: dict[str, str]


class _Content(msgspec.Struct, frozen=True):
    """Everything that one document may hold."""

    service: dict[str, rows.Service] = {}
    pipeline: dict[str, rows.Pipeline] = {}
    row: list[rows.Row] = []
    region: dict[str, rows.Region] = {}
    organisation: dict[str, rows.Organisation] = {}
    policy: rows.Policy | None = None


_STRUCT_BY_KEY = {
    "service": rows.Service,
    "pipeline": rows.Pipeline,
    "row": rows.Row,
    "region": rows.Region,
    "organisation": rows.Organisation,
    "policy": rows.Policy,
}


def get_digest(text):
    """Return the digest that a manifest gives for a document."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def read_manifest(text):
    """Return the `Manifest` in `text`, or the list of findings."""
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
    """Return the text of the manifest for these documents."""
    lines = [f"version = {version}", "", "[documents]"]
    for key in sorted(text_by_key):
        lines.append(f'"{key}" = "{get_digest(text_by_key[key])}"')
    return ("\n".join(lines) + "\n").encode()


def _read_document(key, text, findings):
    where = f"Document '{key}'"
    if len(text) > table_module.DOCUMENT_MAX_BYTES:
        message = f"{len(text)} bytes are over the service's limit"
        hint = "Split it into more documents."
        findings.append(checks.new_error("table.E005", where, message, hint))
        return _Content()
    try:
        raw = tomllib.loads(text.decode())
    except (ValueError, RecursionError) as error:
        findings.append(checks.new_error("table.E002", where, str(error)))
        return _Content()
    unknown = _find_unknown_names(where, raw)
    findings += unknown
    if unknown:
        return _Content()
    try:
        return msgspec.convert(raw, _Content, strict=True)
    except msgspec.ValidationError as error:
        findings.append(checks.new_error("table.E003", where, str(error)))
        return _Content()


def _find_unknown_names(where, raw):
    findings = _compare_names(where, raw, _STRUCT_BY_KEY)
    for section, struct in _STRUCT_BY_KEY.items():
        value = raw.get(section, {})
        named = value.items() if isinstance(value, dict) else ()
        if section == "policy":
            named = ((section, value),)
        elif isinstance(value, list):
            named = ((str(i), item) for i, item in enumerate(value, 1))
        for name, item in named:
            place = f"{where}, {section} '{name}'"
            findings += _compare_fields(place, item, struct)
    return findings


def _compare_fields(place, item, struct):
    if not isinstance(item, dict):
        return []
    fields = [field.name for field in msgspec.structs.fields(struct)]
    findings = _compare_names(place, item, fields)
    if struct is rows.Pipeline and isinstance(item.get("stage"), list):
        for index, stage in enumerate(item["stage"], 1):
            at = f"{place} stage {index}"
            findings += _compare_fields(at, stage, rows.Stage)
    return findings


def _compare_names(where, names, known):
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
    is_organisations = key.startswith(table_module.ORGANISATIONS_PREFIX)
    return with_organisations or not is_organisations


def build_table(
    manifest_text, text_by_key, content_by_digest=None, is_partial=False
):
    """Return `(table, findings)`; the table is None if it is refused.

    `text_by_key` holds the documents that the manifest names, as bytes. A
    document that is missing or has another digest refuses the whole.
    `content_by_digest` keeps what was read, so that the next version
    reads only what changed. An agent's table is partial: it has no
    organisations.
    """
    manifest = read_manifest(manifest_text)
    if isinstance(manifest, list):
        return None, manifest
    if is_partial:
        manifest = _drop_organisations(manifest)
    findings = _check_documents(manifest, text_by_key)
    known = content_by_digest if content_by_digest is not None else {}
    contents = []
    for key in sorted(manifest.documents):
        if key in text_by_key:
            contents.append(
                _read_cached(key, text_by_key[key], known, findings)
            )
    for digest in set(known) - set(manifest.documents.values()):
        del known[digest]
    table = _merge(manifest, manifest_text, text_by_key, contents, findings)
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


def _read_cached(key, text, known, findings):
    digest = get_digest(text)
    if digest not in known:
        found = []
        content = _read_document(key, text, found)
        findings += found
        if found:
            return content
        known[digest] = content
    return known[digest]


def _check_documents(manifest, text_by_key):
    findings = []
    for key, digest in manifest.documents.items():
        where = f"Document '{key}'"
        if key not in text_by_key:
            findings.append(
                checks.new_error("table.E006", where, "it is missing")
            )
        elif get_digest(text_by_key[key]) != digest:
            message = "its digest is not the one that the manifest gives"
            hint = "Publish the documents first and the manifest last."
            findings.append(
                checks.new_error("table.E007", where, message, hint)
            )
    return findings


def _merge(manifest, manifest_text, text_by_key, contents, findings):
    service_by_name = {}
    pipeline_by_name = {}
    region_by_name = {}
    organisation_by_name = {}
    row_list = []
    policy = rows.Policy()
    for content in contents:
        for merged, part in (
            (service_by_name, content.service),
            (pipeline_by_name, content.pipeline),
            (region_by_name, content.region),
            (organisation_by_name, content.organisation),
        ):
            _merge_names(merged, part, findings)
        row_list += content.row
        policy = content.policy or policy
    plan_by_organisation = {
        sys.intern(name): sys.intern(organisation.plan)
        for name, organisation in organisation_by_name.items()
    }
    kept = {
        key: text_by_key[key]
        for key in manifest.documents
        if key in text_by_key
    }
    return table_module.Table(
        manifest.version,
        manifest_text,
        kept,
        service_by_name,
        pipeline_by_name,
        row_list,
        region_by_name,
        plan_by_organisation,
        policy,
    )


def _merge_names(merged, part, findings):
    for name in part:
        if name in merged:
            message = "it is defined in two documents"
            findings.append(
                checks.new_error("table.E008", f"'{name}'", message)
            )
    merged.update(part)
