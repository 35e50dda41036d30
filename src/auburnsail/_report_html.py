"""Renders the burn report as one HTML page with embedded plots."""

import base64
import io
from collections.abc import Iterable
from datetime import UTC, datetime
from html import escape

from ._burn import ALERT_RULES, FIRING, NO_DATA, POSSIBLE
from ._report_burn import BurnReport, BurnRow, burn_lines, format_duration, format_time

__all__ = ["render_burn_page"]

STYLE = """
body { font-family: sans-serif; margin: 2em; max-width: 75em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.25em 0.6em; text-align: left; }
.firing { background: #f4b9b3; } .possible { background: #f9e2ae; }
.no-data { background: #ddd; } .ok { background: #d5ecd2; }
img { max-width: 100%; } pre { background: #f5f5f5; padding: 1em; overflow-x: auto; }
"""
FIGURE_INCHES = (11, 5.5)
DOTS_PER_INCH = 90
# A minute with a lower share of covered node-seconds is drawn as a gap.
MIN_COMPLETE_COVERAGE = 0.999


def render_burn_page(report: BurnReport) -> str:
    """Returns a self-contained HTML page."""
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>',
        f"<style>{STYLE}</style></head><body>",
        f"<h1>Burn report until {escape(format_time(report.period.end_s))}</h1>",
        *_alert_table(report),
    ]
    for service in report.series:
        rows = [row for row in report.rows if row.service == service]
        parts.append(f"<h2>{escape(service)}</h2>")
        parts.append(_image(_series_figure(report, service), f"{service} over time"))
        parts.append(_image(_burn_figure(rows), f"{service} burn rates"))
    text = "\n".join(burn_lines(report))
    parts.append(f"<h2>All figures</h2><pre>{escape(text)}</pre></body></html>")
    return "\n".join(parts)


def _alert_table(report: BurnReport) -> Iterable[str]:
    yield "<table><tr><th>service</th><th>place</th><th>objective</th><th>budget left</th>"
    yield "".join(f"<th>{rule.long_s // 3600} h at {rule.threshold:g}</th>" for rule in ALERT_RULES)
    yield "</tr>"
    for row in report.rows:
        for indicator in (row.availability, row.latency):
            place = "/".join(name for name in (row.region, row.domain) if name) or "all"
            budget_left = (
                "no data"
                if indicator.budget_left is None
                else f"{100 * indicator.budget_left:.1f}%"
            )
            yield f"<tr><td>{escape(row.service)}</td><td>{escape(place)}</td>"
            yield (
                f"<td>{indicator.name} {indicator.objective_percent:g}%</td>"
                f"<td>{budget_left}</td>"
            )
            for alert in indicator.alerts:
                yield f'<td class="{alert.state.replace(" ", "-")}">{alert.state}</td>'
            yield "</tr>"
    yield "</table>"
    yield f"<p>{FIRING}: both windows reach the threshold. {POSSIBLE}: they would if every request"
    yield f"of the missing snapshots had been bad. {NO_DATA}: a window has no snapshot at all.</p>"


def _new_figure():
    # Imported on demand: matplotlib takes seconds and tens of MB to load, and nothing else uses it.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=FIGURE_INCHES, dpi=DOTS_PER_INCH, layout="constrained")
    FigureCanvasAgg(figure)
    return figure


def _series_figure(report: BurnReport, service: str):
    points = report.series[service]
    times = [datetime.fromtimestamp(point.start_s, UTC) for point in points]
    figure = _new_figure()
    upper, lower = figure.subplots(2, sharex=True)
    for name, values in (
        ("not served", [point.bad_share for point in points]),
        ("slower than the bound", [point.slow_share for point in points]),
    ):
        # NaN interrupts the line at a gap.
        shares = [float("nan") if value is None else 100 * value for value in values]
        upper.plot(times, shares, marker=".", label=name)
    upper.set_ylabel("% of requests")
    requests = [point.valid if point.coverage else float("nan") for point in points]
    lower.plot(times, requests, marker=".", color="tab:green", label="requests")
    lower.set_ylabel("requests/min")
    lower.set_xlabel("UTC")
    gaps = [
        time
        for time, point in zip(times, points, strict=True)
        if (point.coverage or 0.0) < MIN_COMPLETE_COVERAGE
    ]
    for axes in (upper, lower):
        for index, time in enumerate(gaps):
            label = "snapshots missing" if index == 0 else None
            axes.axvline(time, color="tab:red", alpha=0.25, linewidth=4, label=label)
        axes.legend(loc="upper left", fontsize="small")
        axes.grid(alpha=0.3)
    return figure


def _burn_figure(rows: list[BurnRow]):
    figure = _new_figure()
    axes = figure.subplots(1, 2, sharey=True)
    places = ["/".join(name for name in (row.region, row.domain) if name) or "all" for row in rows]
    for axis, objective_name in zip(axes, ("availability", "latency"), strict=True):
        indicators = [getattr(row, objective_name) for row in rows]
        window_count = len(indicators[0].windows) if indicators else 0
        for index in range(window_count):
            same_length_windows = [indicator.windows[index] for indicator in indicators]
            height = 0.8 / window_count
            positions = [
                i + height * (index - window_count / 2) for i in range(len(same_length_windows))
            ]
            label = format_duration(same_length_windows[0].seconds)
            axis.barh(
                positions,
                [window.burn or 0.0 for window in same_length_windows],
                height,
                label=label,
            )
            for position, window in zip(positions, same_length_windows, strict=True):
                if window.burn is None:
                    axis.text(0, position, "no data", va="center", fontsize="x-small")
        axis.set_yticks(range(len(places)), places)
        axis.set_ylim(len(places) - 0.5, -0.5)
        axis.axvline(1.0, color="black", linewidth=0.8)
        axis.set_xlabel("burn rate; 1 spends the budget exactly")
        axis.set_title(objective_name)
        axis.legend(fontsize="x-small")
    return figure


def _image(figure, title: str) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    data = base64.b64encode(buffer.getvalue()).decode("ascii")
    return f'<p><img alt="{escape(title)}" src="data:image/png;base64,{data}"></p>'
