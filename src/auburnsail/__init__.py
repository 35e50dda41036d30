"""HTTP router for servers that exclusively own the keys that they serve."""

# isort: off
from . import _lazy  # noqa: F401 - must precede the imports that it defers

# isort: on
from ._admission import Admission, Chooser, Result, Ticket
from ._clock import BootClock, Clock, ManualClock, Timers
from ._fleet import FleetState
from ._forward import ProxyApplication
from ._http_server import HttpServer
from ._outcome import Outcome, Refusal
from ._request_policy import RequestPolicy
from ._routing import Router, Target
from ._settings import EffectiveSettings, NodeSettings, TreeSettings, load_node_settings
from ._shards import shard_of
from ._store import HttpObjectStore, HttpTableStore, ObjectStore, TableStore
from ._tree import effective, parse_tree
from ._versioned_log import VersionedLog

__all__ = [
    "Admission",
    "BootClock",
    "Chooser",
    "Clock",
    "EffectiveSettings",
    "FleetState",
    "HttpObjectStore",
    "HttpServer",
    "HttpTableStore",
    "ManualClock",
    "NodeSettings",
    "ObjectStore",
    "Outcome",
    "ProxyApplication",
    "Refusal",
    "RequestPolicy",
    "Result",
    "Router",
    "TableStore",
    "Target",
    "Ticket",
    "Timers",
    "TreeSettings",
    "VersionedLog",
    "effective",
    "load_node_settings",
    "parse_tree",
    "shard_of",
]
