"""A router for servers that own keys exclusively."""

from ._clock import BootClock, Clock, ManualClock, Timers
from ._fleet import FleetState
from ._log import VersionedLog
from ._outcome import Outcome, Refusal
from ._settings import EffectiveSettings, NodeSettings, TreeSettings, load_node_settings
from ._shards import shard_of
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore
from ._tree import effective, parse_tree

__all__ = [
    "BootClock",
    "Clock",
    "EffectiveSettings",
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
    "TreeSettings",
    "VersionedLog",
    "effective",
    "load_node_settings",
    "parse_tree",
    "shard_of",
]
