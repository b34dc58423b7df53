"""One immutable version of the table that operators publish."""

import msgspec

from greengagetrack.version import rows

DOCUMENT_MAX_BYTES = 1024 * 1024
MANIFEST_KEY = "manifest"
ORGANISATIONS_PREFIX = "organisations/"


class Limits(msgspec.Struct, frozen=True):
    """The limits of one organisation for a row.

    Requests with the same `key` share the limits. The key contains the
    organisation, so a row for `*` limits each organisation separately.
    """

    key: str
    row: rows.Row


class Table:
    """An immutable version of the table.

    Look-ups return None for unknown names::

        limits = table.get_limits("order", "otaru", "counter")
        if limits is not None:
            rate = limits.row.rate_per_s
    """

    __slots__ = (
        "_plan_by_organisation",
        "_row_by_match",
        "manifest",
        "pipeline_by_name",
        "plans",
        "policy",
        "region_by_name",
        "rows",
        "service_by_name",
        "text_by_key",
        "version",
    )

    def __init__(
        self,
        version,
        manifest,
        text_by_key,
        service_by_name,
        pipeline_by_name,
        row_list,
        region_by_name,
        plan_by_organisation,
        policy,
    ):
        self.version = version
        self.manifest = manifest
        self.text_by_key = text_by_key
        self.service_by_name = service_by_name
        self.pipeline_by_name = pipeline_by_name
        self.rows = row_list
        self.region_by_name = region_by_name
        self.policy = policy
        self.plans = frozenset(plan_by_organisation.values())
        self._plan_by_organisation = plan_by_organisation
        self._row_by_match = {
            (row.pipeline, row.organisation, row.kind): row for row in row_list
        }

    def get_plan(self, organisation):
        """Return the plan of an organisation, or None if it is unknown."""
        return self._plan_by_organisation.get(organisation)

    def get_organisation_plans(self):
        """Return pairs of name and plan, one for each organisation."""
        return self._plan_by_organisation.items()

    def get_organisation_count(self):
        """Return the number of organisations."""
        return len(self._plan_by_organisation)

    def get_row(self, pipeline, organisation, kind):
        """Return the most specific row that matches, or None.

        A row for the organisation precedes one for its plan, which
        precedes one for `*`. Among these, a row for the kind precedes one
        for `*`, and then a row for the pipeline precedes one for `*`.
        """
        plan = self.get_plan(organisation)
        organisation_values = (
            organisation,
            f"{rows.PLAN_PREFIX}{plan}",
            rows.ANY,
        )
        for row_organisation in organisation_values:
            for row_kind in (kind, rows.ANY):
                for row_pipeline in (pipeline, rows.ANY):
                    row = self._row_by_match.get(
                        (row_pipeline, row_organisation, row_kind)
                    )
                    if row is not None:
                        return row
        return None

    def get_limits(self, pipeline, organisation, kind):
        """Return the limits of requests of an organisation, or None."""
        row = self.get_row(pipeline, organisation, kind)
        if row is None:
            return None
        return Limits(f"{organisation}|{row.pipeline}|{row.kind}", row)
