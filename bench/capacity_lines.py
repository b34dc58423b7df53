"""The lines of docs/CAPACITY.md: formula, slope, figure, limit, margin."""

import pathlib

import msgspec

TEMPLATE = pathlib.Path(__file__).parent / "capacity_template.md"
WRAPPING_BYTES = 89


class Size(msgspec.Struct, frozen=True):
    """The size to design for."""

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
    """One line of the page."""

    role: str
    what: str
    formula: str
    slope: str
    figure: str
    limit: str
    margin: str
    mechanism: str


def cite(slope):
    if slope.low == slope.high:
        return f"{slope.median:.4g} {slope.unit}"
    return (
        f"{slope.median:.4g} {slope.unit} "
        f"({slope.low:.4g} to {slope.high:.4g})"
    )


def get_margin(figure, limit):
    if figure <= limit:
        return f"{limit / max(figure, 1e-9):.1f} times"
    return f"**over by {figure / limit:.1f} times**"


class PageLines:
    """Collects the lines of the page and puts them together."""

    def __init__(self, measured, size):
        self.slopes = measured.slopes
        self.measured = measured
        self.size = size
        self.lines = []
        self.entry_bytes = 0.0
        self.entries = size.nodes / size.data_centres
        self.agents = size.engines / size.data_centres

    def add(self, role, what, formula, slope, value, unit, limit, mechanism):
        shown_limit, margin = "none stated", "-"
        if limit is not None:
            shown_limit = f"{limit:g} {unit}"
            margin = get_margin(value, limit)
        self.lines.append(
            Line(
                role,
                what,
                formula,
                slope,
                f"{value:.3g} {unit}",
                shown_limit,
                margin,
                f"`{mechanism}`",
            )
        )

    def sum_up(self, entry_bytes_per_s):
        """Count what an entry sends, and return it."""
        self.entry_bytes += entry_bytes_per_s
        return entry_bytes_per_s

    def render(self):
        """Return the text of the page."""
        head = (
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
            table=head + rows,
            wrapping=WRAPPING_BYTES,
            calls=self.size.requests_per_s
            * self.size.stages
            / self.size.engines,
            open=self.size.requests_per_s / self.size.nodes * 4,
            dc=self.size.requests_per_s / self.size.data_centres,
            **msgspec.structs.asdict(self.size),
        )
