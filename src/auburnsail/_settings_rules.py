"""Rules that the operator commands check before a tree is proposed or accepted."""

from ._document import duplicate_names, locate
from ._problems import raise_problems
from ._sections import FIXED_PATHS, SECTIONS
from ._settings import Scope, TreeSettings
from ._tree import parse_tree

__all__ = ["fixed_changes", "parse_tree_strictly"]


def parse_tree_strictly(text: str, source: str) -> TreeSettings:
    """Parses a settings tree, refusing unknown and duplicate names.

    Args:
        text: JSON with comments.
        source: Name of the document in error messages.

    Raises:
        SettingsError: The tree is not valid; the message has the line of each problem.
    """
    tree = parse_tree(text, source, locate=locate)
    raise_problems(duplicate_names(text), text, source, locate)
    return tree


def fixed_changes(old_text: str, new_text: str) -> list[str]:
    """Returns a description of each changed value that is fixed once the fleet has started."""
    old, new = parse_tree(old_text, "base"), parse_tree(new_text, "proposal")
    descriptions = []
    for name, old_service in old.services.items():
        new_service = new.services.get(name)
        if new_service is None and old_service.keyed:
            descriptions.append(f"services.{name} is keyed and may not be removed")
        elif new_service is not None and new_service.keyed != old_service.keyed:
            descriptions.append(f"services.{name}.keyed")
        elif (
            new_service is not None
            and old_service.keyed
            and new_service.shards != old_service.shards
        ):
            descriptions.append(f"services.{name}.shards ({old_service.shards})")
    return descriptions + [
        f"{path} ({_platform_value(old, path)})"
        for path in FIXED_PATHS
        if _platform_value(old, path) != _platform_value(new, path)
    ]


def _platform_value(tree: TreeSettings, path: str) -> object:
    section, _, field = path.partition(".")
    if path in tree.statements.get(Scope(), {}):
        return tree.statements[Scope()][path]
    return getattr(SECTIONS[section].model(), field)
