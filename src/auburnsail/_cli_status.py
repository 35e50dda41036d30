"""Commands that show sessions, shard owners and decisions, and that declare a node lost."""

import click
import msgspec

from ._cli_common import common_options, settings_changes, store_options, table_lines
from ._fleet import FleetState
from ._fleet_view import FLEET_LOG, build_target, query_node, query_nodes, read_fleet
from ._model import DeclareLost, Entry, Session, decode_entry, encode_entry
from ._proposals import new_id
from ._settings import TreeSettings
from ._settings_changes import SettingsChanges
from ._settings_log import decode_tree
from ._shards import shard_of
from ._store import HttpObjectStore, HttpTableStore
from ._store_retry import RetrySchedule, until_definite
from ._versioned_log import VersionedLog
from .exceptions import AuburnsailError, ConflictError, RefusedError, SettingsError

__all__ = ["COMMANDS"]

NODE_OPTION = click.option(
    "--node",
    envvar="AUBURNSAIL_NODE",
    help="Control address (IP:PORT) of a node; or AUBURNSAIL_NODE.",
)
OBJECTS_OPTION = click.option(
    "--objects",
    envvar="AUBURNSAIL_OBJECTS",
    help="Base URL of the object store; by default --store; or AUBURNSAIL_OBJECTS.",
)
VERSION_FIELDS = ("settings_version", "fleet_version")


@click.command()
@NODE_OPTION
@OBJECTS_OPTION
@store_options
@common_options
def status(node, objects, store, operator, timeout_s, output) -> None:
    """Shows all sessions, their shards, and the settings and fleet version of each node.

    With --node, shows the status that this node reports; the store is not used.
    """
    if node:
        content = query_node(node, "/v1/status")
        output.show(content, _content_lines(content))
        return
    changes, tree, fleet = _read_state(store, objects, timeout_s)
    rows = sorted(fleet.sessions.values(), key=lambda row: row.session.id)
    sessions = [row.session for row in rows]
    answers = query_nodes([session.control_address for session in sessions], "/v1/status")
    rows = [
        _session_row(fleet, session) | _node_row(answer.content, answer.error)
        for session, answer in zip(sessions, answers, strict=True)
    ]
    content = {
        "settings_version": changes.history.head(),
        "fleet_version": fleet.version,
        "sessions": rows,
        "unowned_shards": _count_unowned(tree, fleet),
    }
    lines = _content_lines({name: content[name] for name in content if name != "sessions"})
    header = ("session", "region", "domain", "service", "shards", *VERSION_FIELDS, "state")
    output.show(
        content,
        [*lines, "", *table_lines(header, ([row[name] for name in header] for row in rows))],
    )


@click.command(name="explain-key")
@click.argument("key")
@click.option("--service", required=True, help="Keyed service that the key belongs to.")
@NODE_OPTION
@OBJECTS_OPTION
@store_options
@common_options
def explain_key(key, service, node, objects, store, operator, timeout_s, output) -> None:
    """Shows the shard and owner of KEY and the decisions that led there.

    With --node, the explanation is that of this node. Otherwise it comes from the fleet log in the
    store and includes the explanation of the owner.
    """
    if node:
        content = query_node(node, build_target("/v1/explain", service=service, key=key))
        output.show(content, _content_lines(content))
        return
    _, tree, fleet = _read_state(store, objects, timeout_s)
    settings = tree.services.get(service)
    if settings is None or not settings.keyed:
        known = ", ".join(name for name, value in tree.services.items() if value.keyed)
        raise SettingsError(
            f"{service!r} is not a keyed service; known: {known or 'none'}", step="key.explain"
        )
    shard = shard_of(key, settings.shards)
    row = fleet.owner(service, shard)
    content = {
        "service": service,
        "key": key,
        "shard": shard,
        "epoch": fleet.epoch(service, shard),
        "fleet_version": fleet.version,
        "owner": str(row.session.id) if row else "",
        "address": row.session.data_address if row else "",
    }
    if row:
        request_target = build_target("/v1/explain", service=service, key=key)
        try:
            content["owner_says"] = query_node(row.session.control_address, request_target)
        except AuburnsailError as error:
            content["owner_says"] = {"error": str(error)}
    output.show(content, _content_lines(content))


@click.command()
@click.option("--after", type=int, default=0, help="Show only entries with a higher number.")
@click.option(
    "--node",
    envvar="AUBURNSAIL_NODE",
    required=True,
    help="Control address (IP:PORT) of a node; or AUBURNSAIL_NODE.",
)
@common_options
def journal(after, node, output) -> None:
    """Shows the newest decisions of a node and their reasons."""
    content = query_node(node, build_target("/v1/journal", after=str(after)))
    output.show(content, _content_lines(content))


@click.command(name="declare-lost")
@click.argument("node")
@click.option("--force", is_flag=True, help="Declare the node lost even if it still answers.")
@OBJECTS_OPTION
@store_options
@common_options
def declare_lost(node, force, objects, store, operator, timeout_s, output) -> None:
    """Ends the session of NODE if it failed together with two watchers and cannot be sealed.

    Use it only if the node's VM is certainly stopped: nothing else prevents the node from serving
    until its lease expires.
    """
    settings_changes(store, operator, timeout_s, requires_operator=True)
    *_, fleet = _read_state(store, objects, timeout_s)
    session = _open_session(fleet, node)
    if not force:
        _require_no_answer(session)
    command = DeclareLost(new_id(), session.id, operator)
    version = _append_to_log(HttpTableStore(store), fleet, command, RetrySchedule(timeout_s))
    output.show(
        {"session": str(session.id), "fleet_version": version},
        [f"{session.id} is declared lost in fleet version {version}"],
    )


COMMANDS = (status, explain_key, journal, declare_lost)


def _append_to_log(
    store: HttpTableStore, fleet: FleetState, command: DeclareLost, retries: RetrySchedule
) -> int:
    log = VersionedLog(store, FLEET_LOG)
    while True:
        _open_session(fleet, command.session.node)
        entry = Entry(fleet.version + 1, fleet.digest, new_id(), (command,))
        data = encode_entry(entry)
        try:
            return until_definite(
                lambda entry=entry, data=data: log.append(entry.version - 1, entry.id, data),
                retries,
            )
        except ConflictError:
            # Another entry was appended first; it may have ended the session.
            for record in until_definite(lambda: log.read_after(fleet.version), retries):
                fleet.apply(decode_entry(record.data))


def _open_session(fleet: FleetState, node: str) -> Session:
    for session_id, row in fleet.sessions.items():
        if node in (session_id.node, str(session_id)):
            return row.session
    raise RefusedError(f"node {node!r} has no open session", step="fleet.declare-lost")


def _require_no_answer(session: Session) -> None:
    try:
        query_node(session.control_address, "/v1/status")
    except AuburnsailError:
        return
    raise RefusedError(
        "the node still answers; drain it, or use --force",
        step="fleet.declare-lost",
        peer=session.control_address,
    )


def _read_state(
    store: str, objects: str | None, timeout_s: float
) -> tuple[SettingsChanges, TreeSettings, FleetState]:
    changes = settings_changes(store, "", timeout_s, requires_operator=False)
    head = changes.history.head()
    tree = decode_tree(head, changes.history.log_record(head).data)
    stores = HttpTableStore(store), HttpObjectStore(objects or store)
    return changes, tree, read_fleet(*stores, tree, RetrySchedule(timeout_s))


def _session_row(fleet: FleetState, session: Session) -> dict:
    return {
        "session": str(session.id),
        "region": session.region,
        "domain": session.domain,
        "service": session.service,
        "shards": fleet.shard_count(fleet.sessions[session.id]),
        "control_address": session.control_address,
    }


def _node_row(content: dict, error: str) -> dict:
    versions = {name: content.get(name) for name in VERSION_FIELDS}
    state = error or content.get("violation") or content.get("phase") or "answers"
    return {**versions, "state": "draining" if content.get("draining") else state}


def _count_unowned(tree: TreeSettings, fleet: FleetState) -> dict[str, int]:
    return {
        name: sum(fleet.owner(name, shard) is None for shard in range(service.shards))
        for name, service in tree.services.items()
        if service.keyed
    }


def _content_lines(content: object) -> list[str]:
    """Returns a JSON value as lines: plain values first, then a table for each list of objects."""
    if isinstance(content, list):
        return _list_lines(content)
    if not isinstance(content, dict):
        return [str(content)]
    sections = {name: value for name, value in content.items() if _is_section(value)}
    plain = {name: value for name, value in content.items() if name not in sections}
    width = max(map(len, plain), default=0)
    lines = [f"{name.ljust(width)}  {_value_text(value)}" for name, value in plain.items()]
    for name, value in sections.items():
        lines += ["", f"{name}:", *_content_lines(value)]
    return lines


def _list_lines(rows: list) -> list[str]:
    if not _is_table(rows):
        return [_value_text(row) for row in rows]
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return table_lines(
        columns, ([_value_text(row.get(name, "")) for name in columns] for row in rows)
    )


def _is_section(value: object) -> bool:
    if isinstance(value, dict):
        return any(isinstance(inner, list | dict) for inner in value.values())
    return _is_table(value)


def _is_table(value: object) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(row, dict) for row in value)


def _value_text(value: object) -> str:
    if isinstance(value, dict):
        return " ".join(f"{name}={_value_text(inner)}" for name, inner in value.items()) or "-"
    if isinstance(value, str):
        return value or "-"
    return msgspec.json.encode(value).decode()
