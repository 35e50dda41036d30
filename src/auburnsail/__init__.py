"""A router for servers that own keys exclusively."""

from ._clock import BootClock, Clock, ManualClock, Timers
from ._fleet import FleetState
from ._log import VersionedLog
from ._outcome import Outcome, Refusal
from ._settings import NodeSettings, load_node_settings
from ._shards import shard_of
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore

__all__ = [
    "BootClock",
    "Clock",
    "FleetState",
    "HttpObjectStore",
    "HttpTableStore",
    "ManualClock",
    "NodeSettings",
    "ObjectStore",
    "Outcome",
    "Refusal",
    "TableStore",
    "Timers",
    "VersionedLog",
    "load_node_settings",
    "shard_of",
]
