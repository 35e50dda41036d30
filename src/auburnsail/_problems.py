"""Problems found in a settings document, and the error that lists them."""

import difflib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec

from .exceptions import SettingsError

__all__ = ["LineLocator", "Problem", "allowed_values", "known_names_hint", "raise_problems"]

LineLocator = Callable[[str, tuple[str, ...]], int | None]

# A longer list of names would obscure the message.
MAX_LISTED_NAMES = 20

_TYPE_NAMES = {int: "integer", float: "number", str: "text", bool: "true or false"}


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation problem at one path of a document."""

    path: tuple[str, ...]
    message: str


def known_names_hint(name: str, known: Iterable[str]) -> str:
    """Returns the end of an error message for an unknown name.

    It suggests the most similar known name. If none is similar, it lists the known names, or is
    empty if there are none or more than `MAX_LISTED_NAMES`.
    """
    names = list(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known: {', '.join(names)}" if 0 < len(names) <= MAX_LISTED_NAMES else ""


def allowed_values(annotation: Any) -> str:
    """Returns a description of the values that a type annotation allows."""
    if get_origin(annotation) is Literal:
        return ", ".join(get_args(annotation))
    if get_origin(annotation) is tuple:
        return f"list of {allowed_values(get_args(annotation)[0])}"
    if get_origin(annotation) is not Annotated:
        return _TYPE_NAMES.get(annotation, str(annotation))
    inner, *constraints = get_args(annotation)
    texts = [
        text
        for meta in constraints
        if isinstance(meta, msgspec.Meta)
        for text in _constraint_texts(meta)
    ]
    return " ".join([allowed_values(inner), *texts])


def _constraint_texts(meta: msgspec.Meta) -> list[str]:
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
    problems: list[Problem], text: str, source: str, locate: LineLocator | None = None
) -> None:
    """Raises one error that lists all problems, if there are any.

    Args:
        problems: The problems, empty to raise nothing.
        text: The document, for line numbers.
        source: Name of the document in the message.
        locate: Returns the line of a path; None leaves out line numbers.

    Raises:
        SettingsError: There is at least one problem.
    """
    if not problems:
        return
    lines = []
    for problem in problems:
        line = locate(text, problem.path) if locate else None
        position = f"{source}:{line}" if line else source
        path = ".".join(problem.path) or "document"
        lines.append(f"{position}: {path}: {problem.message}")
    raise SettingsError("\n".join(lines), step="settings.parse")
