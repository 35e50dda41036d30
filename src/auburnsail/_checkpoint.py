"""Checkpoints of the fleet's state, each stored as one object."""

import msgspec

from ._checked_input import decode_msgpack
from ._fleet import FleetState, SessionRow
from ._model import Session, SessionId
from ._shards import ShardTable

__all__ = [
    "CHECKPOINT_INTERVAL_ENTRIES",
    "CHECKPOINT_PREFIX",
    "checkpoint_key",
    "dump_fleet",
    "restore_fleet",
]

CHECKPOINT_PREFIX = "fleet/checkpoint/"
CHECKPOINT_INTERVAL_ENTRIES = 512


class _Row(msgspec.Struct, frozen=True, array_like=True):
    session: Session
    index: int
    revision: int
    fence: int = 0


class _Table(msgspec.Struct, frozen=True, array_like=True):
    owner: bytes
    epoch: bytes
    keys: int = 0


class _Checkpoint(msgspec.Struct, frozen=True):
    version: int
    digest: bytes
    rows: list[_Row]
    tables: dict[str, _Table]
    ended: list[tuple[SessionId, SessionId | None]]


def checkpoint_key(version: int) -> str:
    """Returns the object key of a checkpoint; keys sort by version."""
    return f"{CHECKPOINT_PREFIX}{version:016d}"


def dump_fleet(fleet: FleetState) -> bytes:
    """Returns the fleet's state as an encoded checkpoint."""
    rows = [
        _Row(row.session, row.index, row.revision, row.fence) for row in fleet.sessions.values()
    ]
    tables = {name: _Table(*table.dump(), table.keys) for name, table in fleet.tables.items()}
    checkpoint = _Checkpoint(fleet.version, fleet.digest, rows, tables, list(fleet.ended.items()))
    return msgspec.msgpack.encode(checkpoint)


def restore_fleet(fleet: FleetState, data: bytes) -> bool:
    """Replaces the fleet's state if the checkpoint is newer; returns whether it was replaced.

    Raises:
        InvalidInputError: The data is not a checkpoint.
    """
    checkpoint = decode_msgpack(data, _Checkpoint, "checkpoint")
    if checkpoint.version <= fleet.version:
        return False
    rows = [SessionRow(row.session, row.index, row.revision, row.fence) for row in checkpoint.rows]
    fleet.version = checkpoint.version
    fleet.digest = checkpoint.digest
    fleet.sessions = {row.session.id: row for row in rows}
    fleet.by_index = {row.index: row for row in rows}
    fleet.by_node = {row.session.id.node: row for row in rows}
    fleet.ended = dict(checkpoint.ended)
    for service, table in checkpoint.tables.items():
        fleet.tables[service] = ShardTable.load(table.owner, table.epoch)
        fleet.tables[service].keys = table.keys
    return True
