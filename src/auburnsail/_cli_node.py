"""The auburnsail-node program, which runs one node."""

import sys
from pathlib import Path

import click

from ._node import build_node
from ._settings import load_node_settings
from .exceptions import AuburnsailError

__all__ = ["main"]

EXIT_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
@click.option("--check", is_flag=True, help="Check the settings file and exit.")
@click.version_option(package_name="auburnsail")
def main(settings: Path, check: bool) -> None:
    """Runs a node with the given settings file."""
    try:
        node_settings = load_node_settings(settings)
        if check:
            click.echo(f"{settings}: valid")
            return
        build_node(node_settings).run()
    except AuburnsailError as error:
        click.echo(f"auburnsail-node: {error}", err=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
