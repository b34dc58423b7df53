"""Formats the table of docs/CAPACITY.md and fills in its template."""

import pathlib

import msgspec

TEMPLATE = pathlib.Path(__file__).parent / "capacity_template.md"
# The seal, the nng header, the TCP and IP headers; as in bench/fleet.py.
MESSAGE_OVERHEAD_BYTES = 89


class Size(msgspec.Struct, frozen=True):
    """The deployment size that the page is computed for."""

    nodes: int = 340
    engines: int = 1300
    accelerators: int = 5300
    requests_per_s: float = 3400.0
    tokens_per_s: float = 1.4e6
    pipelines: int = 16
    stages: float = 4.5
    organisations: int = 42_000
    models: int = 5
    regions: int = 7
    data_centres: int = 24
    changes_per_day: int = 990
    deaths_per_day: int = 23
    replaced_per_day: int = 100


class Line(msgspec.Struct):
    """One row of the page's table, with its cells as text."""

    role: str
    item: str
    formula: str
    slope: str
    figure: str
    limit: str
    margin: str
    mechanism: str


def format_slope(slope):
    if slope.low == slope.high:
        return f"{slope.median:.4g} {slope.unit}"
    return (
        f"{slope.median:.4g} {slope.unit} "
        f"({slope.low:.4g} to {slope.high:.4g})"
    )


def format_margin(value, limit):
    if value <= limit:
        return f"{limit / max(value, 1e-9):.1f} times"
    return f"**over by {value / limit:.1f} times**"


class PageLines:
    """Collects the rows of the table and renders the page."""

    def __init__(self, measured, size):
        self.slopes = measured.slopes
        self.measured = measured
        self.size = size
        self.lines = []
        self.entry_bytes_per_s = 0.0
        self.entries_per_centre = size.nodes / size.data_centres
        self.agents_per_centre = size.engines / size.data_centres

    def add(self, role, item, formula, slope, value, unit, limit, mechanism):
        limit_text, margin = "none stated", "-"
        if limit is not None:
            limit_text = f"{limit:g} {unit}"
            margin = format_margin(value, limit)
        self.lines.append(
            Line(
                role,
                item,
                formula,
                slope,
                f"{value:.3g} {unit}",
                limit_text,
                margin,
                f"`{mechanism}`",
            )
        )

    def add_entry_bytes(self, entry_bytes_per_s):
        """Add to the total that an entry sends; return the argument."""
        self.entry_bytes_per_s += entry_bytes_per_s
        return entry_bytes_per_s

    def render(self):
        """Return the Markdown text of the page."""
        header = (
            "| role | what | formula | slope | at the size | limit | margin "
            "| mechanism |\n|---|---|---|---|---|---|---|---|\n"
        )
        rows = "".join(
            "| " + " | ".join(msgspec.structs.astuple(line)) + " |\n"
            for line in self.lines
        )
        measured = self.measured
        return TEMPLATE.read_text(encoding="utf-8").format(
            command=measured.command,
            date=measured.date,
            machine=measured.machine,
            python=measured.python,
            table=header + rows,
            overhead=MESSAGE_OVERHEAD_BYTES,
            calls=self.size.requests_per_s
            * self.size.stages
            / self.size.engines,
            # A request is assumed to be open for 4 s.
            open=self.size.requests_per_s / self.size.nodes * 4,
            dc=self.size.requests_per_s / self.size.data_centres,
            **msgspec.structs.asdict(self.size),
        )
