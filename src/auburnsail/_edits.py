"""Differences between two settings documents, value by value."""

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

__all__ = [
    "Edit",
    "Path",
    "edits_between",
    "flatten",
    "format_value",
    "overlaps",
    "path_text",
    "set_edits",
    "unset_edits",
]

Path = tuple[str, ...]

# Objects whose member names are declared by the operator, so that an empty member has a meaning.
_DECLARING = ("services", "regions", "domains")


class Edit(msgspec.Struct, frozen=True):
    """One value that changes.

    Attributes:
        path: Names from the outermost object inwards.
        old: Value before, unset if it was not stated.
        new: Value after, unset if it is no longer stated.
    """

    path: Path
    old: Any | UnsetType = UNSET
    new: Any | UnsetType = UNSET

    def __str__(self) -> str:
        return f"{path_text(self.path)}: {format_value(self.old)} -> {format_value(self.new)}"


def path_text(path: Path) -> str:
    """Returns a path as operators write it."""
    return ".".join(path)


def format_value(value: object) -> str:
    """Returns a value as operators write it."""
    if value is UNSET:
        return "not stated"
    return "declared" if value == {} else msgspec.json.encode(value).decode()


def flatten(document: dict) -> dict[Path, Any]:
    """Returns each stated value by its path; a declared name has an empty object as its value."""
    values: dict[Path, Any] = {}
    _flatten((), document, values)
    return values


def edits_between(old: dict, new: dict) -> tuple[Edit, ...]:
    """Returns the edits that turn one decoded document into another, in path order."""
    before, after = flatten(old), flatten(new)
    return tuple(
        Edit(path, before.get(path, UNSET), after.get(path, UNSET))
        for path in sorted(before.keys() | after.keys())
        if not _same(before.get(path, UNSET), after.get(path, UNSET))
    )


def set_edits(path: Path, value: object) -> tuple[Edit, ...]:
    """Returns the edits that state a value and declare the names that lead to it."""
    document = value
    for name in reversed(path):
        document = {name: document}
    return tuple(Edit(stated, new=leaf) for stated, leaf in flatten(document).items())


def unset_edits(document: dict, path: Path) -> tuple[Edit, ...]:
    """Returns the edits that remove a path and all that is stated below it."""
    return tuple(
        Edit(stated, old=leaf)
        for stated, leaf in flatten(document).items()
        if stated[: len(path)] == path
    )


def overlaps(mine: tuple[Edit, ...], theirs: tuple[Edit, ...]) -> tuple[Edit, ...]:
    """Returns those of my edits that touch a value that the other edits touch too.

    Removing a declared name touches everything below it.
    """
    return tuple(edit for edit in mine if any(_touch(edit, other) for other in theirs))


def _flatten(path: Path, content: dict, values: dict[Path, Any]) -> None:
    for name, value in content.items():
        inner = (*path, name)
        if not isinstance(value, dict):
            values[inner] = value
            continue
        if path and path[-1] in _DECLARING:
            values[inner] = {}
        _flatten(inner, value, values)


def _touch(one: Edit, other: Edit) -> bool:
    if one.path == other.path:
        return True
    shorter, longer = sorted((one, other), key=lambda edit: len(edit.path))
    return shorter.new is UNSET and longer.path[: len(shorter.path)] == shorter.path


def _same(one: object, other: object) -> bool:
    # True equals 1 in Python, but not in a settings document.
    return one == other and isinstance(one, bool) == isinstance(other, bool)
