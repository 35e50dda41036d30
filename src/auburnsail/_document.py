"""Round-trip model of JSON with comments: line numbers, duplicate names, loading and dumping.

Only operator commands import this module, and nodes only to report an error: json-five builds a
model of every token, which takes too much memory for a running node.
"""

from json5.dumper import ModelDumper, dumps
from json5.loader import ModelLoader, loads
from json5.model import JSONObject, JSONText, Node

from ._problems import Problem

__all__ = ["duplicate_names", "locate"]


def locate(text: str, path: tuple[str, ...]) -> int | None:
    """Returns the line of the member at a path, or of its innermost ancestor that exists.

    Args:
        text: A valid document.
        path: Names of the members that lead to the value, outermost first.
    """
    node: Node = load(text).value
    line = node.lineno
    for name in path:
        if not isinstance(node, JSONObject):
            break
        found = member_position(node, name)
        if found is None:
            break
        line = node.keys[found].lineno
        node = node.values[found]
    return line


def duplicate_names(text: str) -> list[Problem]:
    """Returns a problem for each name that occurs more than once in an object.

    The parser of the nodes would silently use the last value.
    """
    problems: list[Problem] = []
    _find_duplicates((), load(text).value, problems)
    return problems


def load(text: str) -> JSONText:
    """Parses a document into its round-trip model."""
    return loads(text, loader=ModelLoader())


def dump(document: JSONText) -> str:
    """Returns the text of a round-trip model."""
    return dumps(document, dumper=ModelDumper())


def key_name(key: Node) -> str:
    """Returns the name of a key, which is an identifier or a string."""
    return key.name if hasattr(key, "name") else key.characters


def member_position(node: JSONObject, name: str) -> int | None:
    """Returns the index of the last member with a name, or None."""
    positions = [position for position, key in enumerate(node.keys) if key_name(key) == name]
    return positions[-1] if positions else None


def _find_duplicates(path: tuple[str, ...], node: Node, problems: list[Problem]) -> None:
    if not isinstance(node, JSONObject):
        return
    seen: dict[str, int] = {}
    for key, value in zip(node.keys, node.values, strict=True):
        name = key_name(key)
        if name in seen:
            message = f"stated twice, first in line {seen[name]}"
            problems.append(Problem((*path, name), message))
        seen.setdefault(name, key.lineno)
        _find_duplicates((*path, name), value, problems)
