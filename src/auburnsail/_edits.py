"""Edits of settings documents: the differences between two documents, value by value."""

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

__all__ = [
    "DocumentPath",
    "Edit",
    "edits_between",
    "flatten",
    "format_path",
    "format_value",
    "overlapping_edits",
    "set_edits",
    "unset_edits",
]

DocumentPath = tuple[str, ...]

# Objects whose members are named by the operator, so that even an empty member is a declaration.
_DECLARING_OBJECTS = ("services", "regions", "domains")


class Edit(msgspec.Struct, frozen=True):
    """A change of one value.

    Attributes:
        path: Names of the members that lead to the value, outermost first.
        old: Previous value, UNSET if it was not stated.
        new: New value, UNSET if it is removed.
    """

    path: DocumentPath
    old: Any | UnsetType = UNSET
    new: Any | UnsetType = UNSET

    def __str__(self) -> str:
        return f"{format_path(self.path)}: {format_value(self.old)} -> {format_value(self.new)}"


def format_path(path: DocumentPath) -> str:
    """Returns a path in the notation of the command line, joined by dots."""
    return ".".join(path)


def format_value(value: object) -> str:
    """Returns a value in the notation of settings documents, or ``not stated`` or ``declared``."""
    if value is UNSET:
        return "not stated"
    return "declared" if value == {} else msgspec.json.encode(value).decode()


def flatten(document: dict) -> dict[DocumentPath, Any]:
    """Returns all stated values by path; the value of a declared name is an empty object."""
    values: dict[DocumentPath, Any] = {}
    _flatten((), document, values)
    return values


def edits_between(old: dict, new: dict) -> tuple[Edit, ...]:
    """Returns the edits that transform one decoded document into another, sorted by path."""
    before, after = flatten(old), flatten(new)
    return tuple(
        Edit(path, before.get(path, UNSET), after.get(path, UNSET))
        for path in sorted(before.keys() | after.keys())
        if not _same_value(before.get(path, UNSET), after.get(path, UNSET))
    )


def set_edits(path: DocumentPath, value: object) -> tuple[Edit, ...]:
    """Returns the edits that state a value and declare the names on its path."""
    document = value
    for name in reversed(path):
        document = {name: document}
    return tuple(Edit(stated, new=leaf) for stated, leaf in flatten(document).items())


def unset_edits(document: dict, path: DocumentPath) -> tuple[Edit, ...]:
    """Returns the edits that remove a path and all values below it."""
    return tuple(
        Edit(stated, old=leaf)
        for stated, leaf in flatten(document).items()
        if stated[: len(path)] == path
    )


def overlapping_edits(edits: tuple[Edit, ...], others: tuple[Edit, ...]) -> tuple[Edit, ...]:
    """Returns the edits that touch a value which one of the other edits touches too.

    Removing a declared name touches all values below it.
    """
    return tuple(edit for edit in edits if any(_edits_overlap(edit, other) for other in others))


def _flatten(path: DocumentPath, content: dict, values: dict[DocumentPath, Any]) -> None:
    for name, value in content.items():
        member_path = (*path, name)
        if not isinstance(value, dict):
            values[member_path] = value
            continue
        if path and path[-1] in _DECLARING_OBJECTS:
            values[member_path] = {}
        _flatten(member_path, value, values)


def _edits_overlap(one: Edit, other: Edit) -> bool:
    if one.path == other.path:
        return True
    shorter, longer = sorted((one, other), key=lambda edit: len(edit.path))
    return shorter.new is UNSET and longer.path[: len(shorter.path)] == shorter.path


def _same_value(one: object, other: object) -> bool:
    # True == 1 in Python, but they are different values in a settings document.
    return one == other and isinstance(one, bool) == isinstance(other, bool)
