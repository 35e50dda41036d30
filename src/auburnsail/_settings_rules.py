"""Rules that operators' programs check before a tree is proposed or accepted."""

from ._document import duplicate_names, locate
from ._problems import raise_problems
from ._sections import FIXED_PATHS, SECTIONS
from ._settings import Scope, TreeSettings
from ._tree import parse_tree

__all__ = ["checked_tree", "fixed_changes"]


def checked_tree(text: str, source: str) -> TreeSettings:
    """Reads a tree strictly: unknown and repeated names are refused.

    Raises:
        SettingsError: The tree is not valid; the error names each problem's line.
    """
    tree = parse_tree(text, source, locate=locate)
    raise_problems(duplicate_names(text), text, source, locate)
    return tree


def fixed_changes(old_text: str, new_text: str) -> list[str]:
    """Returns descriptions of the changed values that a started fleet cannot change."""
    old, new = parse_tree(old_text, "base"), parse_tree(new_text, "proposal")
    found = []
    for name, before in old.services.items():
        after = new.services.get(name)
        if after is None and before.keyed:
            found.append(f"services.{name} is keyed and may not be removed")
        elif after is not None and after.keyed != before.keyed:
            found.append(f"services.{name}.keyed")
        elif after is not None and before.keyed and after.shards != before.shards:
            found.append(f"services.{name}.shards ({before.shards})")
    return found + [
        f"{path} ({_platform_value(old, path)})"
        for path in FIXED_PATHS
        if _platform_value(old, path) != _platform_value(new, path)
    ]


def _platform_value(tree: TreeSettings, path: str) -> object:
    section, _, field = path.partition(".")
    if path in tree.statements.get(Scope(), {}):
        return tree.statements[Scope()][path]
    return getattr(SECTIONS[section].model(), field)
