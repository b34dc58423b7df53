"""Writes the result of an experiment as an HTML page with plots."""

import base64
import html
import io
import pathlib

import hdrh.histogram
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

LOWEST_MS = 1
HIGHEST_MS = 60_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 75, 90, 95, 99, 99.9)

_PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{title}</title>
<style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}
img{{max-width:100%}}td,th{{padding:.2em .8em;text-align:right}}</style>
</head><body><h1>{title}</h1><p>{summary}</p>{plots}
<h2>Latency from the intended arrival</h2><table>{table}</table>
</body></html>
"""


def get_histogram(answers):
    """Return the HDR histogram of whole answers' latencies, in ms."""
    histogram = hdrh.histogram.HdrHistogram(
        LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
    )
    for answer in answers:
        if answer.outcome == "whole":
            latency_ms = min(
                max(answer.latency_s * 1000, LOWEST_MS), HIGHEST_MS
            )
            histogram.record_value(int(latency_ms))
    return histogram


def _render_image(figure):
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, bbox_inches="tight")
    pyplot.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="plot" src="data:image/png;base64,{data}">'


def _plot_attainment(answers):
    first_s = min(answer.sent_s for answer in answers)
    total_by_second, in_time_by_second = {}, {}
    for answer in answers:
        second = int(answer.sent_s - first_s)
        total_by_second[second] = total_by_second.get(second, 0) + 1
        in_time = in_time_by_second.get(second, 0) + answer.is_in_time()
        in_time_by_second[second] = in_time
    seconds = sorted(total_by_second)
    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.plot(
        seconds,
        [in_time_by_second[each] / total_by_second[each] for each in seconds],
    )
    axes.set_ylim(0, 1.05)
    axes.set_xlabel("second of the run")
    axes.set_ylabel("answered whole in time")
    return _render_image(figure)


def _plot_percentiles(histogram):
    figure, axes = pyplot.subplots(figsize=(8, 3))
    values = [
        histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    ]
    axes.bar([f"{percentile:g}" for percentile in PERCENTILES], values)
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency, ms")
    return _render_image(figure)


def _plot_bars(value_by_name, label):
    figure, axes = pyplot.subplots(figsize=(8, 3))
    names = sorted(value_by_name, key=value_by_name.get)
    axes.barh(names, [value_by_name[name] for name in names])
    axes.set_xlabel(label)
    return _render_image(figure)


def write_report(result, folder):
    """Write the page of a result to `folder` and return its path."""
    root = pathlib.Path(folder)
    root.mkdir(parents=True, exist_ok=True)
    histogram = get_histogram(result.answers)
    plots = [
        "<h2>Attainment over time</h2>",
        _plot_attainment(result.answers),
        "<h2>Latency percentiles</h2>",
        _plot_percentiles(histogram),
        "<h2>Backend server time by stage</h2>",
        _plot_bars(result.seconds_by_stage, "seconds"),
    ]
    if result.reasons:
        plots += [
            "<h2>Not answered whole, by reason</h2>",
            _plot_bars(result.reasons, "requests"),
        ]
    rows = "".join(
        f"<tr><td>{percentile:g}%</td>"
        f"<td>{histogram.get_value_at_percentile(percentile)} ms</td></tr>"
        for percentile in PERCENTILES
    )
    counts = result.counts
    title = (
        f"{result.system}, {result.deployment}, {result.calendar}, "
        f"fault {result.fault}, seed {result.seed}"
    )
    summary = (
        f"{counts.requests} requests, {counts.in_time} whole in time "
        f"({counts.attainment:.1%}), {counts.refused} refused, "
        f"{counts.unknown} unknown; {result.cross_region_bytes} bytes "
        f"between regions, {result.engine_seconds:.1f} engine seconds."
    )
    page = _PAGE_TEMPLATE.format(
        title=html.escape(title),
        summary=html.escape(summary),
        plots="".join(plots),
        table=rows,
    )
    path = root / "index.html"
    path.write_text(page, encoding="utf-8")
    return path
