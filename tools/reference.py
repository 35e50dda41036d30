"""Generates docs/reference/settings.md from the settings models."""

import re
import sys
import textwrap
from pathlib import Path

import click
import msgspec

from auburnsail._edits import format_value
from auburnsail._problems import allowed_values
from auburnsail._sections import FIXED_PATHS, SECTIONS, UNUSED_PATHS
from auburnsail._settings import NodeSettings, ServiceSettings

PAGE = Path(__file__).parent.parent / "docs" / "reference" / "settings.md"
UNITS = {
    "_ms": "ms",
    "_s": "s",
    "_days": "days",
    "_bytes": "bytes",
    "_percent": "%",
    "_ppm": "ppm",
    "_per_minute": "1/min",
}
INTRODUCTION = """\
# Settings reference

Generated from the models by `make reference`; do not edit. [Changing settings](../operators/settings.md) explains the
levels, their precedence and the commands.

- *levels*: where a value may be stated, besides its built-in default.
- *fixed*: a change is refused once the fleet has started.
- A number without a unit counts things.
"""
SERVICE_NOTES = {
    "keyed": "Fixed once the fleet has started, as is the existence of a keyed service.",
    "shards": "Fixed once the fleet has started.",
    "keys": "Fixed once the fleet has started.",
}


def unit_of(name: str) -> str:
    """Returns the unit that the suffix of a setting's name stands for, or an empty string."""
    for suffix, unit in UNITS.items():
        if name.endswith(suffix):
            return unit
    return ""


def render() -> str:
    """Returns the page as Markdown."""
    parts = [INTRODUCTION, "## Services (`services.<name>`)\n", _service_table()]
    for section in SECTIONS.values():
        levels = ", ".join(level.name.lower() for level in section.levels)
        title, _, rest = section.model.__doc__.partition("\n")
        parts += [f"## `{section.name}`\n", f"{title} Levels: {levels}.\n"]
        if rest.strip():
            parts.append(textwrap.dedent(rest).strip() + "\n")
        parts.append(_section_table(section.name, section.model))
    parts += ["## A node's own settings file\n", _node_table()]
    return "\n".join(parts)


def _service_table() -> str:
    rows = [
        _row(field.name, field, SERVICE_NOTES[field.name])
        for field in msgspec.structs.fields(ServiceSettings)
    ]
    return _table(rows)


def _section_table(section: str, model: type) -> str:
    rows = [
        _row(field.name, field, _field_note(f"{section}.{field.name}"))
        for field in msgspec.structs.fields(model)
    ]
    return _table(rows)


def _field_note(path: str) -> str:
    notes = ["Fixed."] if path in FIXED_PATHS else []
    if path in UNUSED_PATHS:
        notes.append("**No effect yet:** nodes use the default.")
    return " ".join(notes)


def _node_table() -> str:
    descriptions = dict(re.findall(r"^\s+(\w+): (.+)$", NodeSettings.__doc__, re.MULTILINE))
    rows = [
        (field.name, "", _allowed(field.type), _default(field), descriptions.get(field.name, ""))
        for field in msgspec.structs.fields(NodeSettings)
    ]
    return _table(rows)


def _row(name: str, field, note: str) -> tuple[str, ...]:
    metas = [meta for meta in field.type.__metadata__ if isinstance(meta, msgspec.Meta)]
    description = next(meta.description for meta in metas if meta.description)
    return (name, unit_of(name), _allowed(field.type), _default(field), f"{description} {note}")


def _allowed(field_type) -> str:
    return allowed_values(field_type).replace("|", "\\|")


def _default(field) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    return f"`{format_value(default)}`"


def _table(rows: list[tuple[str, ...]]) -> str:
    lines = ["| name | unit | allowed | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for name, *cells in rows:
        lines.append("| " + " | ".join([f"`{name}`", *(cell.strip() for cell in cells)]) + " |")
    return "\n".join(lines) + "\n"


@click.command()
@click.option(
    "--check", is_flag=True, help="Exit with 1 if the page is out of date, instead of writing it."
)
def main(check: bool) -> None:
    """Writes the page or checks that it is up to date."""
    page = render()
    if not check:
        PAGE.write_text(page, encoding="utf-8")
    elif not PAGE.exists() or PAGE.read_text(encoding="utf-8") != page:
        click.echo(f"{PAGE.name} is out of date; run `make reference`", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
