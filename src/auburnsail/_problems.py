"""Problems found in a settings document, and the error that lists them."""

import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec

from .exceptions import SettingsError

__all__ = ["Locate", "Problem", "allowed_values", "nearest", "raise_problems"]

Locate = Callable[[str, tuple[str, ...]], int | None]

# More names than this hide the message.
MOST_NAMES = 20

_KIND_NAMES = {int: "integer", float: "number", str: "text", bool: "true or false"}


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong at one path of a document."""

    path: tuple[str, ...]
    message: str


def nearest(name: str, known: Iterable[str]) -> str:
    """Returns a hint: the known name most like an unknown one, or else the known names."""
    names = list(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known: {', '.join(names)}" if 0 < len(names) <= MOST_NAMES else ""


def allowed_values(kind: Any) -> str:
    """Describes the values that a field's type admits."""
    if get_origin(kind) is Literal:
        return ", ".join(get_args(kind))
    if get_origin(kind) is tuple:
        return f"list of {allowed_values(get_args(kind)[0])}"
    if get_origin(kind) is not Annotated:
        return _KIND_NAMES.get(kind, str(kind))
    inner, *metas = get_args(kind)
    bounds = [text for meta in metas if isinstance(meta, msgspec.Meta) for text in _bounds(meta)]
    return " ".join([allowed_values(inner), *bounds])


def _bounds(meta: msgspec.Meta) -> list[str]:
    texts = []
    match meta.ge, meta.gt:
        case int() | float(), _:
            texts.append(f"from {meta.ge}")
        case _, int() | float():
            texts.append(f"above {meta.gt}")
    match meta.le, meta.lt:
        case int() | float(), _:
            texts.append(f"to {meta.le}")
        case _, int() | float():
            texts.append(f"below {meta.lt}")
    if meta.pattern == "^/":
        texts.append("starting with /")
    elif meta.pattern:
        texts.append(f"matching {meta.pattern}")
    if meta.min_length:
        texts.append(f"of {meta.min_length} or more characters")
    return texts


def raise_problems(
    problems: list[Problem], text: str, source: str, locate: Locate | None = None
) -> None:
    """Raises one error that lists all problems, if there are any.

    Args:
        problems: What was found.
        text: The document, for line numbers.
        source: File or version that the document came from.
        locate: Finds the line of a path, if the caller wants lines.

    Raises:
        SettingsError: There is at least one problem.
    """
    if not problems:
        return
    lines = []
    for problem in problems:
        line = locate(text, problem.path) if locate else None
        where = f"{source}:{line}" if line else source
        path = ".".join(problem.path) or "document"
        lines.append(f"{where}: {path}: {problem.message}")
    raise SettingsError("\n".join(lines), step="settings.parse")
