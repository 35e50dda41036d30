"""Reads positions in JSON with comments and edits it, keeping order and comments.

Only operators' programs import this module: json-five builds a model of every token, which is
more memory than a node should spend.
"""

from json5.dumper import ModelDumper, dumps
from json5.loader import ModelLoader, loads
from json5.model import JSONObject, JSONText, Node

from ._problems import Problem

__all__ = ["duplicate_names", "locate"]


def locate(text: str, path: tuple[str, ...]) -> int | None:
    """Returns the line of a path's name, or of the innermost object on the way that exists.

    Args:
        text: A valid document.
        path: Names from the outermost object inwards.
    """
    node: Node = load(text).value
    line = node.lineno
    for name in path:
        if not isinstance(node, JSONObject):
            break
        found = find(node, name)
        if found is None:
            break
        line = node.keys[found].lineno
        node = node.values[found]
    return line


def duplicate_names(text: str) -> list[Problem]:
    """Returns a problem for each name that one object states twice.

    The reader of the nodes would silently take the last one.
    """
    problems: list[Problem] = []
    _find_duplicates((), load(text).value, problems)
    return problems


def load(text: str) -> JSONText:
    """Returns the round-trip model of a document."""
    return loads(text, loader=ModelLoader())


def dump(document: JSONText) -> str:
    """Returns the text of a document's model."""
    return dumps(document, dumper=ModelDumper())


def name_of(key: Node) -> str:
    """Returns the name that a key stands for."""
    return key.name if hasattr(key, "name") else key.characters


def find(node: JSONObject, name: str) -> int | None:
    """Returns the position of the last member of a name, or None."""
    found = [position for position, key in enumerate(node.keys) if name_of(key) == name]
    return found[-1] if found else None


def _find_duplicates(path: tuple[str, ...], node: Node, problems: list[Problem]) -> None:
    if not isinstance(node, JSONObject):
        return
    seen: dict[str, int] = {}
    for key, value in zip(node.keys, node.values, strict=True):
        name = name_of(key)
        if name in seen:
            message = f"stated twice, first in line {seen[name]}"
            problems.append(Problem((*path, name), message))
        seen.setdefault(name, key.lineno)
        _find_duplicates((*path, name), value, problems)
