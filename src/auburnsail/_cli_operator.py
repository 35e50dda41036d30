"""The auburnsail program for operators."""

import secrets
from pathlib import Path

import click

from ._log import VersionedLog
from ._store import HttpTableStore
from ._tree import parse_tree

__all__ = ["main"]


@click.group()
@click.version_option(package_name="auburnsail")
def main() -> None:
    """Operates a fleet."""


@main.group()
def settings() -> None:
    """Proposes, reviews and accepts changes of the settings tree."""


@settings.command()
@click.option("--store", required=True, help="Base URL of the table service.")
@click.argument("file", type=click.Path(path_type=Path, exists=True))
def init(store: str, file: Path) -> None:
    """Writes the first version of the settings tree."""
    text = file.read_text(encoding="utf-8")
    parse_tree(text, str(file))
    log = VersionedLog(HttpTableStore(store), "settings")
    version = log.append(0, secrets.token_hex(8), text.encode())
    click.echo(f"settings version {version} is in force")


if __name__ == "__main__":
    main()
