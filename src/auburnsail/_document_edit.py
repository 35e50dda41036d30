"""Edits JSON with comments through json-five's round-trip model.

json-five attaches whitespace and comments to the token that follows them: a comment at the end of a
member's line is stored before the next key, or after the last value.
"""

import json

from json5.model import Comment, JSONObject, LineComment, Node
from msgspec import UNSET

from ._document import dump, load, member_position
from ._edits import DocumentPath, Edit, flatten, format_path
from ._settings import decode_jsonc
from .exceptions import SettingsError

__all__ = ["apply_edits"]

INDENT = "  "

Space = list[str | Comment]


def apply_edits(text: str, edits: tuple[Edit, ...], comments_from: str = "") -> str:
    """Returns a document with edits applied; the rest keeps its order, layout and comments.

    Args:
        text: A valid document.
        edits: The edits; their old values are not checked.
        comments_from: Document from which the comments above added members are copied.

    Raises:
        SettingsError: A path leads through a value that is not an object, or the edited document
            does not have the expected values.
    """
    document = load(text)
    source = load(comments_from).value if comments_from else None
    removed = [edit for edit in edits if edit.new is UNSET]
    for edit in sorted(removed, key=lambda edit: len(edit.path), reverse=True):
        _remove_member(document.value, edit.path)
    for edit in sorted(
        (edit for edit in edits if edit.new is not UNSET), key=lambda edit: edit.path
    ):
        _set_value(document.value, edit, _comments_above(source, edit.path) if source else [])
    edited = dump(document)
    _verify_edits(text, edits, edited)
    return edited


def _verify_edits(text: str, edits: tuple[Edit, ...], edited: str) -> None:
    expected = flatten(decode_jsonc(text, "document"))
    for edit in edits:
        if edit.new is UNSET:
            expected.pop(edit.path, None)
        else:
            expected[edit.path] = edit.new
    result = flatten(decode_jsonc(edited, "edited document"))
    if result != expected:
        paths = ", ".join(format_path(edit.path) for edit in edits)
        raise SettingsError(f"the document could not be edited at {paths}", step="settings.edit")


def _set_value(root: Node, edit: Edit, comments: list[Comment]) -> None:
    node, indent, is_multi_line = root, "", True
    for name in edit.path[:-1]:
        position = member_position(node, name) if isinstance(node, JSONObject) else None
        if position is None and isinstance(node, JSONObject):
            _insert_member(node, indent, name, _json_node({}), [], is_multi_line)
            position = member_position(node, name)
        if position is None:
            raise SettingsError(
                f"{format_path(edit.path)} leads through a value that is not an object in braces",
                step="settings.edit",
            )
        indent = _member_indent(node, indent)
        is_multi_line = _is_multi_line(node, is_multi_line)
        node = node.values[position]
    if not isinstance(node, JSONObject):
        raise SettingsError(
            f"{format_path(edit.path[:-1])} is not an object in braces", step="settings.edit"
        )
    position = member_position(node, edit.path[-1])
    if position is None:
        _insert_member(node, indent, edit.path[-1], _json_node(edit.new), comments, is_multi_line)
    elif edit.new != {}:
        value, old = _json_node(edit.new), node.values[position]
        value.wsc_before, value.wsc_after = old.wsc_before, old.wsc_after
        node.values[position] = value


def _insert_member(
    node: JSONObject,
    outer_indent: str,
    name: str,
    value: Node,
    comments: list[Comment],
    outer_is_multi_line: bool,
) -> None:
    key = _json_node(name)
    value.wsc_before = [" "]
    indent = _member_indent(node, outer_indent)
    is_multi_line = _is_multi_line(node, outer_is_multi_line)
    space_before: Space = [f"\n{indent}"] if is_multi_line else [" "]
    if is_multi_line:
        space_before += [part for comment in comments for part in (comment, f"\n{indent}")]
    if not node.keys:
        kept = _without_last_space(node.leading_wsc)
        if is_multi_line or kept:
            node.leading_wsc = [*kept, f"\n{indent}", *space_before[1:]]
            value.wsc_after = [f"\n{outer_indent}"]
    else:
        last_token = node.trailing_comma or node.values[-1]
        same_line, rest = _split_at_line_end(last_token.wsc_after)
        if any(isinstance(part, LineComment) for part in same_line) and not is_multi_line:
            space_before = [f"\n{indent}"]
        last_token.wsc_after = []
        key.wsc_before = same_line + space_before
        if node.trailing_comma:
            node.trailing_comma.wsc_after = rest
        else:
            value.wsc_after = rest
    node.keys.append(key)
    node.values.append(value)


def _remove_member(root: Node, path: DocumentPath) -> None:
    node = root
    for name in path[:-1]:
        position = member_position(node, name) if isinstance(node, JSONObject) else None
        if position is None:
            return
        node = node.values[position]
    position = member_position(node, path[-1])
    if position is None:
        return
    is_first, is_last = position == 0, position == len(node.keys) - 1
    before = node.leading_wsc if is_first else node.keys[position].wsc_before
    kept = _space_to_keep(before)
    if not is_last:
        following = node.keys[position + 1].wsc_before
    else:
        following = (node.trailing_comma or node.values[position]).wsc_after
    _, rest = _split_at_line_end(following)
    del node.keys[position], node.values[position]
    if not is_last:
        if is_first:
            node.keys[0].wsc_before = []
            node.leading_wsc = kept + rest if _has_newline(rest) else before
        else:
            node.keys[position].wsc_before = kept + rest
    elif is_first:
        node.trailing_comma = None
        space = kept + rest
        node.leading_wsc = space if any(isinstance(part, Comment) for part in space) else []
    elif node.trailing_comma:
        node.trailing_comma.wsc_after = kept + rest
    else:
        node.values[-1].wsc_after = node.values[-1].wsc_after + kept + rest


def _comments_above(node: Node, path: DocumentPath) -> list[Comment]:
    position = None
    for depth, name in enumerate(path):
        position = member_position(node, name) if isinstance(node, JSONObject) else None
        if position is None:
            return []
        if depth < len(path) - 1:
            node = node.values[position]
    before = node.leading_wsc if position == 0 else node.keys[position].wsc_before
    own_space = _split_at_line_end(before)[1]
    kept = len(_space_to_keep(before)) - len(_split_at_line_end(before)[0])
    return [part for part in own_space[kept:] if isinstance(part, Comment)]


def _space_to_keep(space: Space) -> Space:
    """Returns the part of the space before a member that remains when the member is removed.

    That is the rest of the previous line, and comments above the last blank line.
    """
    same_line, own_space = _split_at_line_end(space)
    blank_line_positions = [
        index
        for index, part in enumerate(own_space)
        if isinstance(part, str) and part.count("\n") > 1
    ]
    has_comment_above = bool(blank_line_positions) and any(
        isinstance(part, Comment) for part in own_space[: blank_line_positions[-1]]
    )
    return same_line + own_space[: blank_line_positions[-1]] if has_comment_above else same_line


def _split_at_line_end(space: Space) -> tuple[Space, Space]:
    """Splits space into the rest of the previous line and the part from the line end on."""
    for position, part in enumerate(space):
        if isinstance(part, str) and "\n" in part:
            return space[:position], space[position:]
    return [], space


def _has_newline(space: Space) -> bool:
    return any(isinstance(part, str) and "\n" in part for part in space)


def _without_last_space(space: Space) -> Space:
    return space[:-1] if space and isinstance(space[-1], str) else space


def _is_multi_line(node: JSONObject, outer_is_multi_line: bool) -> bool:
    """Returns whether each member starts on a new line; an empty object follows its parent."""
    if not node.keys:
        return outer_is_multi_line
    return _has_newline(node.leading_wsc) or any(_has_newline(key.wsc_before) for key in node.keys)


def _member_indent(node: JSONObject, outer_indent: str) -> str:
    for space in (node.leading_wsc, *(key.wsc_before for key in node.keys)):
        if space and isinstance(space[-1], str) and "\n" in space[-1]:
            return space[-1].rpartition("\n")[2]
    return outer_indent + INDENT


def _json_node(content: object) -> Node:
    # json.dumps writes a space after commas and colons, which is the usual style.
    return load(json.dumps(content, ensure_ascii=False)).value
