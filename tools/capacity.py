"""Measures the quantities in the table of docs/CAPACITY.md and checks or rewrites the table."""

import re
import sys
from pathlib import Path

import click

from tools.capacity_probes import PROBES, LineFit, Probe

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- measured: begin -->", "<!-- measured: end -->"
# A larger difference between page and measurement makes the page out of date. Processor time has a
# larger factor because it differs between machines and with their load.
MAX_SIZE_FACTOR, MAX_CPU_TIME_FACTOR = 1.15, 3.0


def table(fits: dict[str, LineFit]) -> str:
    """Returns the table of all probes as Markdown."""
    lines = [
        "| quantity | measured at (size: value) | slope | target size | value at target |",
        "| --- | --- | --- | --- | --- |",
    ]
    for probe in PROBES:
        fit = fits[probe.name]
        points = "; ".join(f"{size:g}: {value:.4g}" for size, value in fit.points)
        slope = f"{fit.slope:.3g} {probe.unit} per {probe.size_unit}"
        at_target = f"{fit.predict(probe.target_size):.3g} {probe.unit}"
        lines.append(f"| {probe.name} | {points} | {slope} | {probe.target_size:g} | {at_target} |")
    return "\n".join(lines)


def outdated_rows(page: str, fits: dict[str, LineFit]) -> list[str]:
    """Returns a message for each quantity whose value on the page is missing or out of date."""
    outdated = []
    for probe in PROBES:
        match = re.search(rf"^\| {re.escape(probe.name)} \|.*\| ([-\d.e+]+) ", page, re.MULTILINE)
        if match is None:
            outdated.append(f"{probe.name}: not on the page")
            continue
        page_value, measured_value = float(match[1]), fits[probe.name].predict(probe.target_size)
        if not _agrees(probe, page_value, measured_value):
            outdated.append(
                f"{probe.name}: page {page_value:g}, measured {measured_value:.3g} {probe.unit}"
            )
    return outdated


def _agrees(probe: Probe, page_value: float, measured_value: float) -> bool:
    factor = MAX_CPU_TIME_FACTOR if "CPU" in probe.unit else MAX_SIZE_FACTOR
    return (
        page_value > 0
        and measured_value > 0
        and 1 / factor <= measured_value / page_value <= factor
    )


@click.command()
@click.option("--write", is_flag=True, help="Write the table to the page instead of checking it.")
def main(write: bool) -> None:
    """Measures, prints the table and checks the page; exits with 1 if the page is out of date."""
    fits = {}
    for probe in PROBES:
        fits[probe.name] = probe.fit()
        click.echo(f"measured {probe.name}", err=True)
    click.echo(table(fits))
    page = PAGE.read_text(encoding="utf-8")
    if write:
        before, rest = page.split(BEGIN_MARKER)
        after = rest.split(END_MARKER)[1]
        PAGE.write_text(
            f"{before}{BEGIN_MARKER}\n{table(fits)}\n{END_MARKER}{after}", encoding="utf-8"
        )
        return
    outdated = outdated_rows(page, fits)
    for text in outdated:
        click.echo(f"out of date: {text}")
    click.echo(f"capacity: {'ok' if not outdated else 'page and measurement disagree'}")
    sys.exit(1 if outdated else 0)


if __name__ == "__main__":
    main()
