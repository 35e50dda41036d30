"""Shared options, output and exit codes of the operator commands."""

import os
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import wraps
from inspect import cleandoc
from pathlib import Path

import click
import msgspec

from ._edits import Edit
from ._settings_changes import SettingsChanges
from ._settings_conflicts import SettingsConflictError
from ._store import HttpTableStore
from ._store_retry import RetrySchedule
from .exceptions import (
    AuburnsailError,
    NotRunError,
    OutcomeUnknownError,
    SettingsError,
    StoreUnavailableError,
)

__all__ = [
    "EXIT_CODES_HELP",
    "Output",
    "common_options",
    "read_file",
    "settings_changes",
    "store_options",
    "table_lines",
]

EXIT_REFUSED = 1
EXIT_INVALID_INPUT = 2
EXIT_UNAVAILABLE = 3
EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 refused, or conflict with another change; 2 invalid input or usage;"
    " 3 store or node unavailable, or outcome unknown (run the same command again)."
)
DEFAULT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Output:
    """Prints results as text or as JSON.

    Attributes:
        as_json: Whether to print JSON.
    """

    as_json: bool

    def show(self, content: object, lines: Iterable[str]) -> None:
        """Prints a result.

        Args:
            content: The result, as printed with ``--json``.
            lines: The result as text.
        """
        if self.as_json:
            click.echo(msgspec.json.format(msgspec.json.encode(content), indent=2))
        else:
            for line in lines:
                click.echo(line)


def common_options(command: Callable) -> Callable:
    """Adds ``--json``, and exits with the documented exit code on errors.

    The command receives an `Output` as keyword argument ``output``.
    """

    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @wraps(command)
    def run(*arguments, as_json: bool, **options):
        try:
            return command(*arguments, output=Output(as_json), **options)
        except AuburnsailError as error:
            _exit_with_error(error, as_json)

    run.__doc__ = f"{cleandoc(command.__doc__)}\n\n{EXIT_CODES_HELP}"
    return run


def store_options(command: Callable) -> Callable:
    """Adds ``--store``, ``--as`` and ``--timeout-s``.

    The command receives them as ``store``, ``operator`` and ``timeout_s``.
    """
    for option in (
        click.option(
            "--timeout-s",
            type=click.FloatRange(0.0, 3600.0),
            default=DEFAULT_TIMEOUT_S,
            show_default=True,
            help="Time budget for retries in seconds.",
        ),
        click.option(
            "--as",
            "operator",
            envvar="AUBURNSAIL_OPERATOR",
            default="",
            help="Name of the operator; or AUBURNSAIL_OPERATOR.",
        ),
        click.option(
            "--store",
            envvar="AUBURNSAIL_STORE",
            required=True,
            help="Base URL of the table service; or AUBURNSAIL_STORE.",
        ),
    ):
        command = option(command)
    return command


def settings_changes(
    store: str, operator: str, timeout_s: float, *, requires_operator: bool
) -> SettingsChanges:
    """Returns the operations on the settings tree.

    Args:
        store: Base URL of the table service.
        operator: Name of the operator.
        timeout_s: Time budget for retries in seconds.
        requires_operator: Whether the command makes a change, which requires an operator's name.

    Raises:
        click.UsageError: The operator's name is missing, or the URL is invalid.
    """
    if requires_operator and not operator.strip():
        raise click.UsageError(
            "the operator's name is required: use --as NAME or AUBURNSAIL_OPERATOR"
        )
    try:
        table = HttpTableStore(store)
    except ValueError:
        raise click.UsageError(f"--store {store!r} is not of the form http://IP:PORT") from None
    return SettingsChanges(table, operator.strip(), RetrySchedule(timeout_s))


def read_file(path: Path) -> str:
    """Returns the text of a file, or of standard input if the path is ``-``.

    Raises:
        SettingsError: The file cannot be read or is not UTF-8.
    """
    if str(path) == "-":
        return sys.stdin.read()
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="settings.read", peer=str(path)) from error


def table_lines(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Returns the lines of a table with aligned columns."""
    cells = [list(header), *([_cell_text(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def _cell_text(value: object) -> str:
    if value is None or value in ("", (), []):
        return "-"
    return ", ".join(map(str, value)) if isinstance(value, tuple | list) else str(value)


def _edit_lines(title: str, edits: tuple[Edit, ...]) -> list[str]:
    return [title, *(f"  {edit}" for edit in edits)] if edits else []


def _exit_with_error(error: AuburnsailError, as_json: bool) -> None:
    match error:
        case SettingsError():
            code = EXIT_INVALID_INPUT
        case StoreUnavailableError() | OutcomeUnknownError() | NotRunError():
            code = EXIT_UNAVAILABLE
        case _:
            code = EXIT_REFUSED
    newer, overlapping = (), ()
    if isinstance(error, SettingsConflictError):
        newer, overlapping = error.newer_edits, error.overlapping_edits
    if as_json:
        content = {
            "error": type(error).__name__,
            "detail": error.detail,
            "step": error.step,
            "peer": error.peer,
            "newer": newer,
            "overlapping": overlapping,
            "exit_code": code,
        }
        click.echo(msgspec.json.format(msgspec.json.encode(content), indent=2))
    lines = [
        f"auburnsail: {error}",
        *_edit_lines("accepted since then:", newer),
        *_edit_lines("conflicting edits of this change:", overlapping),
    ]
    click.echo(os.linesep.join(lines), err=True)
    sys.exit(code)
