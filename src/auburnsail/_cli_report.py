"""The auburnsail-report program: error budgets, imbalance and churn from stored snapshots."""

import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path

import click
import gevent

from ._burn import FIRING, NO_DATA, POSSIBLE
from ._cli_common import EXIT_CODES_HELP, common_options
from ._report_burn import DAY_S, Period, burn_lines, burn_report, format_time
from ._report_churn import FleetVersionTimes, churn_lines, churn_report
from ._report_imbalance import UpstreamLoads, imbalance_lines
from ._report_series import BUCKET_S, MinuteSeries, ReadStatistics, read_snapshots
from ._settings import TreeSettings
from ._settings_log import SettingsHistory
from ._store import HttpObjectStore, HttpTableStore
from ._store_retry import RetrySchedule
from ._tree import effective, parse_tree
from .exceptions import RefusedError, SettingsError

__all__ = ["main"]

EXIT_FIRING = 4
EXIT_POSSIBLE = 5
US_PER_MS = 1000
LONGEST_ALERT_WINDOW_S = 3 * DAY_S
# A snapshot is normally written within one interval after its end.
SNAPSHOT_LAG_INTERVALS = 2
BURN_EPILOG = (
    f"burn also exits with {EXIT_FIRING} if an alert is firing, and with {EXIT_POSSIBLE} if none is"
    " firing but one cannot be ruled out because snapshots are missing."
)


class _ReportSource:
    """Input of a report: the stores, the settings in force and the end of the period."""

    def __init__(self, store: str, objects: str, timeout_s: float, at: datetime | None) -> None:
        try:
            self.table = HttpTableStore(store)
            self.objects = HttpObjectStore(objects or store)
        except ValueError:
            raise click.UsageError(
                "--store and --objects must be of the form http://IP:PORT"
            ) from None
        self.retries = RetrySchedule(timeout_s, sleep_s=gevent.sleep)
        history = SettingsHistory(self.table, self.retries)
        self.version = history.head()
        record = history.record(self.version)
        source = f"settings version {self.version}"
        self.tree: TreeSettings = parse_tree(record.text, source, ignore_unknown=True)
        self.first_accepted_s = self._read_first_accepted_s(history)
        interval_s = max(
            effective(self.tree, service).logging.snapshot_interval_s
            for service in self.tree.services
        )
        end_s = at.replace(tzinfo=UTC).timestamp() if at else time.time()
        if not at:
            end_s -= SNAPSHOT_LAG_INTERVALS * interval_s
        self.end_s = end_s - end_s % BUCKET_S

    def _read_first_accepted_s(self, history: SettingsHistory) -> float:
        try:
            return datetime.fromisoformat(history.record(1).accepted_at).timestamp()
        except (RefusedError, SettingsError, ValueError):
            return 0.0

    def period(self, seconds: float) -> Period:
        """Returns the period that ends with the report.

        Args:
            seconds: Length; the period does not start before the first version of the settings.
        """
        return Period(min(self.end_s, max(self.first_accepted_s, self.end_s - seconds)), self.end_s)


def report_options(command: Callable) -> Callable:
    """Adds the options of all reports; the command receives a `_ReportSource` as ``source``."""

    @wraps(command)
    def run(*arguments, store, objects, timeout_s, at, **options):
        return command(*arguments, source=_ReportSource(store, objects, timeout_s, at), **options)

    for option in (
        click.option(
            "--at",
            type=click.DateTime(["%Y-%m-%dT%H:%M", "%Y-%m-%dT%H:%M:%S"]),
            help="End of the report in UTC; by default the newest complete minute.",
        ),
        click.option(
            "--timeout-s",
            type=click.FloatRange(0.0, 3600.0),
            default=10.0,
            show_default=True,
            help="Time budget for retries in seconds.",
        ),
        click.option(
            "--objects",
            envvar="AUBURNSAIL_OBJECTS",
            help="Base URL of the object store; by default --store.",
        ),
        click.option(
            "--store",
            envvar="AUBURNSAIL_STORE",
            required=True,
            help="Base URL of the table service; or AUBURNSAIL_STORE.",
        ),
    ):
        run = option(run)
    return run


@click.group(epilog=f"{EXIT_CODES_HELP} {BURN_EPILOG}")
@click.version_option(package_name="auburnsail")
def main() -> None:
    """Reports on service levels, load balance and ownership from snapshots in the store."""


@main.command(epilog=BURN_EPILOG)
@click.option("--html", type=click.Path(path_type=Path), help="HTML file to write, with plots.")
@click.option(
    "--budget-days",
    type=click.FloatRange(min=0.01, max=366),
    help="Window of the error budget in days; by default that of each objective.",
)
@common_options
@report_options
def burn(html, budget_days, source, output) -> None:
    """Shows error budgets, burn rates and alerts by service, region and failure domain.

    The objectives are those of the settings in force. For windows with missing snapshots a range is
    shown; a time without any snapshot is a gap and never counts as good.
    """
    tree = source.tree
    longest_days = budget_days or max(
        effective(tree, service).objective.window_days for service in tree.services
    )
    period = source.period(max(longest_days * DAY_S, LONGEST_ALERT_WINDOW_S))
    latency_bounds_us = {
        service: int(effective(tree, service).objective.latency_bound_ms * US_PER_MS)
        for service in tree.services
    }
    series, statistics = MinuteSeries(latency_bounds_us.get), ReadStatistics()
    for snapshot in _snapshots(source, period, statistics):
        series.add(snapshot)
    report = burn_report(series, statistics, tree, source.version, period, budget_days)
    output.show(report, burn_lines(report))
    if html is not None:
        from ._report_html import render_burn_page

        html.write_text(render_burn_page(report), encoding="utf-8")
    if report.has_alert(FIRING):
        sys.exit(EXIT_FIRING)
    if report.has_alert(POSSIBLE) or report.has_alert(NO_DATA):
        sys.exit(EXIT_POSSIBLE)


MINUTES_OPTION = click.option(
    "--minutes",
    type=click.IntRange(1, 60 * 24 * 31),
    default=60,
    show_default=True,
    help="Length of the period in minutes.",
)


@main.command()
@MINUTES_OPTION
@click.option(
    "--by",
    "measure",
    type=click.Choice(["requests", "busy"]),
    default="requests",
    show_default=True,
    help="Measure of load: number of requests, or their total duration.",
)
@common_options
@report_options
def imbalance(minutes, measure, source, output) -> None:
    """Shows the load of each upstream relative to the mean of its service over time."""
    period = source.period(minutes * 60)
    loads = UpstreamLoads()
    for snapshot in _snapshots(source, period, ReadStatistics()):
        loads.add(snapshot)
    report = loads.report(period.start_s, period.end_s, measure)
    output.show(report, imbalance_lines(report, format_time))


@main.command()
@MINUTES_OPTION
@common_options
@report_options
def churn(minutes, source, output) -> None:
    """Shows ownership changes by reason, the share of moved shards and its minimum."""
    period = source.period(minutes * 60)
    versions = FleetVersionTimes()
    # The log version at the start of the period is known from snapshots that ended before it, so
    # those of the hour before the period are read too.
    extended_period = Period(period.start_s - 3600, period.end_s)
    for snapshot in _snapshots(source, extended_period, ReadStatistics()):
        versions.add(snapshot)
    report = churn_report(
        source.table, source.tree, period.start_s, period.end_s, versions, source.retries
    )
    output.show(report, churn_lines(report, format_time))


def _snapshots(source: _ReportSource, period: Period, statistics: ReadStatistics):
    return read_snapshots(source.objects, period.start_s, period.end_s, source.retries, statistics)


if __name__ == "__main__":
    main()
