"""Properties, faults and counters of the upstream stand-in."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; each ``POST /admin/faults`` replaces all of them.

    Attributes:
        freeze_ms: Stops the whole process once, for this long, as a paused VM does.
        silence: Makes the connections accepted so far silent for ever, once.
        crash_path: A request whose path contains this text ends the process while it runs.
        speed: Divides the time that requests take.
        shed_share: Share of requests that are refused although there is room.
        shed_status: Status of such a refusal, 429 or 503.
        load_lag_ms: Age of the reported load.
        load_factor: Multiplies the reported load.
        health_lag_ms: Age of the reported health.
        health: ``up`` or ``down`` is reported instead of the truth.
    """

    freeze_ms: float = 0.0
    silence: bool = False
    crash_path: str = ""
    speed: float = 1.0
    shed_share: float = 0.0
    shed_status: int = 503
    load_lag_ms: float = 0.0
    load_factor: float = 1.0
    health_lag_ms: float = 0.0
    health: str = ""


class Counters(msgspec.Struct):
    """What happened since the start.

    Attributes:
        outcomes: Executions by outcome.
        refused: Requests that were not run, by reason.
        most_running: Most requests that ran at the same time.
        late_work: Requests that arrived more than 2 s after the drain began.
    """

    outcomes: dict[str, int] = {}
    refused: dict[str, int] = {}
    most_running: int = 0
    late_work: int = 0


class Options(msgspec.Struct, frozen=True):
    """Properties of the upstream; see the command's options."""

    name: str
    service: str
    slots: int = 12
    connections: int = 100
    service_ms: float = 1.0
    spread: str = "fixed"
    grants: str = "optional"
    stop_at_expiry: bool = False
    cold_start_s: float = 0.0
    cold_factor: float = 4.0
