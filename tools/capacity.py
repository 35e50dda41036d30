"""Measures the slopes behind docs/CAPACITY.md and checks or rewrites the page's table."""

import re
import sys
from pathlib import Path

import click

from tools.capacity_probes import PROBES, Fit, Probe

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- measured: begin -->", "<!-- measured: end -->"
# Sizes and counts must agree closely. Processor time differs between machines and with their load, so
# only a change by more than this factor makes the page out of date.
EXACT_FACTOR, TIME_FACTOR = 1.15, 3.0


def table(fits: dict[str, Fit]) -> str:
    """Returns the table of all probes as Markdown."""
    lines = [
        "| quantity | measured at (size: value) | slope | target size | value at target |",
        "| --- | --- | --- | --- | --- |",
    ]
    for probe in PROBES:
        fit = fits[probe.name]
        points = "; ".join(f"{size:g}: {value:.4g}" for size, value in fit.points)
        slope = f"{fit.slope:.3g} {probe.unit} per {probe.per}"
        at_target = f"{fit.at(probe.target):.3g} {probe.unit}"
        lines.append(f"| {probe.name} | {points} | {slope} | {probe.target:g} | {at_target} |")
    return "\n".join(lines)


def differences(page: str, fits: dict[str, Fit]) -> list[str]:
    """Returns the rows of the page that do not agree with the measurement."""
    found = []
    for probe in PROBES:
        match = re.search(rf"^\| {re.escape(probe.name)} \|.*\| ([-\d.e+]+) ", page, re.MULTILINE)
        if match is None:
            found.append(f"{probe.name}: not on the page")
            continue
        stated, measured = float(match[1]), fits[probe.name].at(probe.target)
        if not _agree(probe, stated, measured):
            found.append(f"{probe.name}: page {stated:g}, measured {measured:.3g} {probe.unit}")
    return found


def _agree(probe: Probe, stated: float, measured: float) -> bool:
    factor = TIME_FACTOR if "CPU" in probe.unit else EXACT_FACTOR
    return stated > 0 and measured > 0 and 1 / factor <= measured / stated <= factor


@click.command()
@click.option("--write", is_flag=True, help="Write the table into the page.")
def main(write: bool) -> None:
    """Measures, prints the table and checks the page; exits with 1 if they disagree."""
    fits = {}
    for probe in PROBES:
        fits[probe.name] = probe.fit()
        click.echo(f"measured {probe.name}", err=True)
    click.echo(table(fits))
    page = PAGE.read_text(encoding="utf-8")
    if write:
        before, rest = page.split(BEGIN)
        after = rest.split(END)[1]
        PAGE.write_text(f"{before}{BEGIN}\n{table(fits)}\n{END}{after}", encoding="utf-8")
        return
    found = differences(page, fits)
    for text in found:
        click.echo(f"out of date: {text}")
    click.echo(f"capacity: {'ok' if not found else 'page and measurement disagree'}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
