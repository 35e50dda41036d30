"""Commands that show the settings tree, the origin of its values, and its history."""

from pathlib import Path

import click
import msgspec

from ._cli_common import common_options, settings_changes, store_options, table_lines
from ._cli_settings import VERSION_LINE, proposal_summary
from ._edits import Edit, format_path, format_value
from ._explain_settings import ExplainedValue, explain
from ._settings_changes import SettingsChanges
from ._settings_log import SettingsRecord
from ._tree import parse_tree
from .exceptions import SettingsError

__all__ = ["COMMANDS"]


@click.command()
@click.option("--version", "version", type=int, help="Version to show; by default the newest.")
@click.option(
    "--output", "file", type=click.Path(path_type=Path), help="File to write the tree to."
)
@store_options
@common_options
def show(version, file, store, operator, timeout_s, output) -> None:
    """Prints the settings tree; its first line gives the version, which `propose` reads."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=False)
    version = changes.history.head() if version is None else version
    text = changes.history.record(version).text
    if file:
        try:
            file.write_text(VERSION_LINE.format(version=version) + text, encoding="utf-8")
        except OSError as error:
            raise SettingsError(str(error), step="settings.show", peer=str(file)) from error
        output.show({"version": version, "file": str(file)}, [f"wrote version {version} to {file}"])
        return
    lines = (VERSION_LINE.format(version=version) + text).splitlines()
    output.show({"version": version, "text": text}, lines)


@click.command(name="explain")
@click.argument("names", metavar="[NAME]", default="")
@click.option("--service", default="", help="Service; by default values for any service.")
@click.option("--region", default="", help="Region; by default values for any region.")
@click.option("--domain", default="", help="Failure domain of the region.")
@click.option("--stated", is_flag=True, help="Omit built-in defaults.")
@store_options
@common_options
def explain_command(
    names, service, region, domain, stated, store, operator, timeout_s, output
) -> None:
    """Shows each effective value with its level and the change that set it.

    NAME is a section or section.field. For a single field, all levels that state it are listed,
    the effective one first.
    """
    if domain and not region:
        raise click.UsageError("--domain needs --region")
    changes = settings_changes(store, operator, timeout_s, requires_operator=False)
    head = changes.history.head()
    record = changes.history.record(head)
    tree = parse_tree(record.text, f"settings version {head}", ignore_unknown=True)
    values = explain(tree, service, region, domain, names)
    if stated:
        values = [row for row in values if row.in_force.path]
    rows = _OriginLookup(changes, record).rows(values, all_levels=len(values) == 1 and bool(names))
    columns = ("name", "value", "level", "version", "authors", "reviewers", "accepted_by", "title")
    table = table_lines(columns, ([row[name] for name in columns] for row in rows))
    output.show({"version": head, "values": rows}, [f"settings version {head}", *table])


@click.command()
@click.argument("path", default="")
@click.option(
    "--limit",
    type=click.IntRange(1),
    default=50,
    show_default=True,
    help="Maximum number of edits.",
)
@store_options
@common_options
def history(path, limit, store, operator, timeout_s, output) -> None:
    """Shows the changes of the values at or below PATH of the document, newest first."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=False)
    edits = list(changes.history.newest_edits(path, limit))
    if not edits:
        raise SettingsError(f"{path or 'the tree'} was never stated", step="settings.history")
    header = ("version", "accepted at", "path", "old", "new", "authors", "reviewers", "title")
    rows = [
        (version, record.accepted_at, *_edit_cells(edit), *_origin_cells(record))
        for version, record, edit in edits
    ]
    content = [
        {"version": version, "at": record.accepted_at, "edit": edit, **_origin_fields(record)}
        for version, record, edit in edits
    ]
    output.show(content, table_lines(header, rows))


@click.command()
@click.option("--proposals", is_flag=True, help="List proposals instead of accepted versions.")
@click.option("--open", "only_open", is_flag=True, help="List open proposals only.")
@click.option(
    "--days",
    type=click.IntRange(0),
    default=7,
    show_default=True,
    help="Maximum age of proposals in days.",
)
@click.option("--limit", type=click.IntRange(1), default=20, show_default=True, help="Versions.")
@store_options
@common_options
def log(proposals, only_open, days, limit, store, operator, timeout_s, output) -> None:
    """Lists the newest accepted versions, or proposals with what is missing for acceptance."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=False)
    if proposals or only_open:
        summaries = [proposal_summary(proposal) for proposal in changes.proposals.recent(days)]
        summaries = [
            row for row in summaries if not only_open or row["state"] in ("open", "accepting")
        ]
        columns = ("id", "state", "base", "version", "authors", "approved_by", "lacks", "title")
        rows = [[row[name] for name in columns] for row in summaries]
        output.show(summaries, table_lines([name.replace("_", " ") for name in columns], rows))
        return
    records = changes.history.records_after(max(0, changes.history.head() - limit))
    header = ("version", "accepted at", "proposal", "values", "authors", "reviewers", "title")
    rows = [
        (version, record.accepted_at, record.proposal, len(record.edits), *_origin_cells(record))
        for version, record in records
    ]
    content = [
        {
            "version": version,
            "at": record.accepted_at,
            "edits": record.edits,
            **_origin_fields(record),
        }
        for version, record in records
    ]
    output.show(content, table_lines(header, rows))


COMMANDS = (show, explain_command, history, log)


class _OriginLookup:
    """Looks up the accepted changes that set explained values.

    Args:
        changes: Operations on the settings tree.
        newest: Newest settings record, which contains the version that set each value.
    """

    def __init__(self, changes: SettingsChanges, newest: SettingsRecord) -> None:
        self._changes = changes
        self._origins = newest.origins
        self._records: dict[int, SettingsRecord] = {}

    def rows(self, values: list[ExplainedValue], *, all_levels: bool) -> list[dict]:
        """Returns a row for each value, with its level, its path and the change that set it.

        Args:
            values: The explained values.
            all_levels: Whether to return a row for each level that states a value, instead of one
                for the effective level only.
        """
        return [
            self._row(value.name, statement.origin_key, statement)
            for value in values
            for statement in (value.statements if all_levels else (value.in_force,))
        ]

    def _row(self, name: str, key: str, statement) -> dict:
        version = self._origins.get(key)
        origin = dict.fromkeys(("authors", "reviewers", "accepted_by", "proposal", "title"))
        if version is not None:
            if version not in self._records:
                self._records[version] = self._changes.history.record(version)
            origin = _origin_fields(self._records[version])
        value = msgspec.to_builtins(statement.value)
        return {
            "name": name,
            "value": msgspec.json.encode(value).decode() if value != "" else '""',
            "level": statement.level,
            "path": key,
            "version": version,
            **origin,
        }


def _edit_cells(edit: Edit) -> tuple[str, str, str]:
    return format_path(edit.path), format_value(edit.old), format_value(edit.new)


def _origin_cells(record: SettingsRecord) -> tuple:
    return record.authors, record.reviewers, record.title


def _origin_fields(record: SettingsRecord) -> dict:
    return {
        "proposal": record.proposal,
        "title": record.title,
        "authors": record.authors,
        "reviewers": record.reviewers,
        "accepted_by": record.accepted_by,
    }
