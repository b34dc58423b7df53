"""Checks of the table; each finding has an id and may have a hint."""

import difflib
import enum

import msgspec

from greengagetrack.version import rows

STAGES_MIN = 3
STAGES_MAX = 6
DEADLINE_MAX_MS = 600_000
SHARE_TOLERANCE = 0.01


class Level(enum.StrEnum):
    """The severity of a finding; only errors reject a table."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """A problem that a check found, its place and how to correct it."""

    id: str
    level: Level
    where: str
    message: str
    hint: str = ""

    def __str__(self):
        text = f"{self.id}: {self.where}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text


def new_error(check_id, where, message, hint=""):
    """Return a finding that rejects the table."""
    return Finding(check_id, Level.ERROR, where, message, hint)


def new_warning(check_id, where, message, hint=""):
    """Return a finding that does not reject the table."""
    return Finding(check_id, Level.WARNING, where, message, hint)


def get_nearest_hint(name, known):
    """Return a hint with the known name that is most similar to `name`."""
    matches = difflib.get_close_matches(str(name), list(known), n=1)
    if matches:
        return f"Did you mean '{matches[0]}'?"
    return "Known names: " + (", ".join(sorted(known)) or "none") + "."


def check_pipelines(table):
    """Return the findings about the pipelines of `table`."""
    findings = []
    for name, pipeline in table.pipeline_by_name.items():
        findings += _check_pipeline(name, pipeline, table)
    return findings


def _check_pipeline(name, pipeline, table):
    where = f"Pipeline '{name}'"
    findings = []
    count = len(pipeline.stage)
    if not STAGES_MIN <= count <= STAGES_MAX:
        message = f"has {count} stages, not {STAGES_MIN} to {STAGES_MAX}"
        findings.append(new_error("table.E010", where, message))
    if not 0 < pipeline.deadline_ms <= DEADLINE_MAX_MS:
        message = (
            f"'deadline_ms' must be 1 to {DEADLINE_MAX_MS}, "
            f"not {pipeline.deadline_ms}"
        )
        findings.append(new_error("table.E011", where, message))
    total = sum(stage.share for stage in pipeline.stage)
    if total > 1 + SHARE_TOLERANCE:
        message = f"the shares of its stages add up to {total:g}, over 1"
        findings.append(new_error("table.E012", where, message))
    for index, stage in enumerate(pipeline.stage, 1):
        findings += _check_stage(f"{where} stage {index}", stage, table)
    return findings


def _check_stage(where, stage, table):
    findings = []
    if stage.service not in table.service_by_name:
        findings.append(
            new_error(
                "table.E013",
                where,
                f"there is no service '{stage.service}'",
                get_nearest_hint(stage.service, table.service_by_name),
            )
        )
        return findings
    if not 0 < stage.share <= 1:
        message = f"'share' must be over 0 and at most 1, not {stage.share:g}"
        findings.append(new_error("table.E014", where, message))
    service = table.service_by_name[stage.service]
    if stage.model and stage.model not in service.models:
        hint = get_nearest_hint(stage.model, service.models)
        message = f"service '{stage.service}' has no model '{stage.model}'"
        findings.append(new_error("table.E015", where, message, hint))
    if service.kind is rows.ServiceKind.ENGINE and stage.max_tokens <= 0:
        message = "a stage on an engine needs 'max_tokens' over 0"
        findings.append(new_error("table.E016", where, message))
    return findings


def check_rows(table):
    """Return the findings about the rows of weights and limits."""
    findings = []
    seen = set()
    for index, row in enumerate(table.rows, 1):
        where = f"Row {index} (pipeline '{row.pipeline}')"
        findings += _check_row(where, row, table)
        key = (row.pipeline, row.organisation, row.kind)
        if key in seen:
            message = (
                "another row has the same pipeline, organisation and kind"
            )
            hint = "Merge the two rows into one."
            findings.append(new_error("table.E020", where, message, hint))
        seen.add(key)
    covered = {row.pipeline for row in table.rows}
    for name in table.pipeline_by_name:
        if name not in covered and rows.ANY not in covered:
            message = "no row sets its weights and limits"
            hint = (
                "Add a [[row]] for it; without one all requests are refused."
            )
            findings.append(
                new_error("table.E021", f"Pipeline '{name}'", message, hint)
            )
    return findings


def _check_row(where, row, table):
    findings = []
    pipeline_by_name = table.pipeline_by_name
    if row.pipeline != rows.ANY and row.pipeline not in pipeline_by_name:
        message = f"there is no pipeline '{row.pipeline}'"
        hint = get_nearest_hint(row.pipeline, pipeline_by_name)
        findings.append(new_error("table.E022", where, message, hint))
    for field in ("rate_per_s", "tokens_per_s", "weight"):
        value = getattr(row, field)
        if not 0 < value < float("inf"):
            message = f"'{field}' must be over 0, not {value:g}"
            findings.append(new_error("table.E023", where, message))
    for field in ("concurrency", "longest_wait_ms"):
        value = getattr(row, field)
        if value < 1:
            message = f"'{field}' must be 1 or more, not {value}"
            findings.append(new_error("table.E024", where, message))
    if not 0 <= row.floor <= 1:
        message = f"'floor' must be 0 to 1, not {row.floor:g}"
        findings.append(new_error("table.E025", where, message))
    if row.organisation not in (rows.ANY,) and not _has_match(row, table):
        message = f"no organisation or plan matches '{row.organisation}'"
        findings.append(new_warning("table.W026", where, message))
    return findings


def _has_match(row, table):
    name = row.organisation
    if name.startswith(rows.PLAN_PREFIX):
        return name.removeprefix(rows.PLAN_PREFIX) in table.plans
    return table.get_plan(name) is not None


def check_regions(table):
    """Return the findings about the regions and their shares."""
    findings = []
    total = sum(region.share for region in table.region_by_name.values())
    if not table.region_by_name:
        findings.append(
            new_error(
                "table.E030", "Regions", "there is no region", "Add one."
            )
        )
    elif abs(total - 1) > SHARE_TOLERANCE:
        message = f"the shares add up to {total:g}, not 1"
        hint = "Limits are split by these shares, so they must add up to 1."
        findings.append(new_error("table.E031", "Regions", message, hint))
    for name, region in table.region_by_name.items():
        if region.share < 0:
            message = f"'share' must be 0 or more, not {region.share:g}"
            where = f"Region '{name}'"
            findings.append(new_error("table.E032", where, message))
    return findings


ALL_CHECKS = (check_pipelines, check_rows, check_regions)


def run_checks(table):
    """Return the findings of all checks on `table`."""
    return [finding for check in ALL_CHECKS for finding in check(table)]


def has_errors(findings):
    """Return whether any of `findings` is an error."""
    return any(finding.level is Level.ERROR for finding in findings)
