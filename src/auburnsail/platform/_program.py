"""Command that the platform starts on each VM to run a node for the local upstream."""

import os
import sys
from dataclasses import fields
from pathlib import Path

import click

from .._adapter import Adapter
from .._control_server import ControlServer
from .._log_lines import configure_json_lines
from .._node import build_node
from .._node_control import NodeControl
from .._sockets import endpoint
from ..exceptions import AuburnsailError
from ._boot_file import BootFile, load_boot_file
from ._desired_state import DesiredStateSettings, RetryLimits
from ._header_names import DIALECT
from ._reports import ReadinessApplication, ReportApplication
from ._store import PlatformObjects, PlatformStore, PlatformTable

__all__ = ["build_adapter", "main"]

SETTINGS_PATH_VARIABLE = "AUBURNSAIL_CONFIG"
EXIT_SETTINGS = 2


class _BootFileReloader:
    """Re-reads the settings file and applies the retry limits, which may change at run time.

    Args:
        path: The settings file.
        boot: Content of the file at the start.
        settings_source: Settings source that uses the retry limits.
    """

    def __init__(self, path: Path, boot: BootFile, settings_source: DesiredStateSettings) -> None:
        self._path = path
        self._boot = boot
        self._settings_source = settings_source

    def upstream_address(self) -> str:
        """Returns the address of the local upstream by the newest valid settings file."""
        return self._boot.upstream_address

    def __call__(self) -> dict[str, object]:
        """Returns the fields that changed since the previous read, with their new values.

        Raises:
            SettingsError: The file is invalid; the previous values stay in force.
        """
        boot, previous = load_boot_file(self._path), self._boot
        self._boot = boot
        self._settings_source.retry_limits = RetryLimits(boot.retry_ratio, boot.retry_reserve)
        return {
            item.name: str(getattr(boot, item.name))
            for item in fields(BootFile)
            if getattr(boot, item.name) != getattr(previous, item.name)
        }


def build_adapter(boot: BootFile, path: Path) -> Adapter:
    """Builds the adapter that connects a node to the platform.

    Args:
        boot: Content of the settings file.
        path: The settings file, which is re-read on reload.
    """
    store = PlatformStore(boot.store_address)
    table = PlatformTable(store)
    settings_source = DesiredStateSettings(table, RetryLimits(boot.retry_ratio, boot.retry_reserve))

    reloader = _BootFileReloader(path, boot, settings_source)

    def build_servers(node: NodeControl) -> list[ControlServer]:
        applications = {
            boot.report_address: ReportApplication(
                node, boot.node.service, reloader.upstream_address
            ),
            boot.ready_address: ReadinessApplication(node),
        }
        return [
            ControlServer(endpoint(address), application)
            for address, application in applications.items()
        ]

    return Adapter(
        table=table,
        objects=PlatformObjects(store),
        settings_source=settings_source,
        dialect=DIALECT,
        has_routes=True,
        grants_by_report=True,
        build_servers=build_servers,
        reload=reloader,
        gauges=lambda: {
            f"store_calls_{step.replace('.', '_')}": count for step, count in store.calls.items()
        },
    )


@click.command()
@click.option(
    "--settings",
    type=click.Path(path_type=Path),
    default=lambda: os.environ.get(SETTINGS_PATH_VARIABLE, ""),
    help=f"Settings file; by default the one that {SETTINGS_PATH_VARIABLE} names.",
)
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@click.version_option(package_name="auburnsail", version="0.1.0")
def main(settings: Path, check: bool) -> None:
    """Runs a node on the users' platform."""
    try:
        boot = load_boot_file(settings)
        if check:
            click.echo(f"{settings}: valid")
            return
        configure_json_lines()
        build_node(boot.node, build_adapter(boot, settings)).run()
    except AuburnsailError as error:
        click.echo(f"auburnsail-platform: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
