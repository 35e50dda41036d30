"""Properties, faults and counters of the upstream stand-in."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; each ``POST /admin/faults`` replaces all of them.

    Attributes:
        freeze_ms: Stops the whole process once for this time, like a pause of the VM.
        silence: Makes all connections accepted so far silent for the rest of their lifetime, once.
        crash_path: A request whose path contains this text crashes the process while it runs.
        speed: Divisor of the service time of requests.
        shed_share: Share of requests that are refused although slots are free.
        shed_status: Status of refusals by `shed_share` and of refusals for lack of slots, 429 or
            503.
        repeat_refusal_share: Share of refusals that are written once more on the same connection.
        repeat_answer_share: Share of the other answers to work that are written once more.
        repeat_delay_ms: Time between an answer and its copy. A copy is never written inside an
            answer.
        repeat_without_id: Whether copies lack the id of the request.
        load_lag_ms: Age of the reported load.
        load_factor: Multiplier of the reported load.
        health_lag_ms: Age of the reported health.
        health: ``up`` or ``down`` replaces the actual health in reports; empty for no replacement.
    """

    freeze_ms: float = 0.0
    silence: bool = False
    crash_path: str = ""
    speed: float = 1.0
    shed_share: float = 0.0
    shed_status: int = 503
    repeat_refusal_share: float = 0.0
    repeat_answer_share: float = 0.0
    repeat_delay_ms: float = 0.0
    repeat_without_id: bool = False
    load_lag_ms: float = 0.0
    load_factor: float = 1.0
    health_lag_ms: float = 0.0
    health: str = ""


class Counters(msgspec.Struct):
    """Counters since the start of the process.

    Attributes:
        outcomes: Number of executions by outcome.
        refused: Number of requests that were not run, by reason.
        repeated: Number of copies that were written, by kind: ``refusal`` or ``answer``.
        most_running: Maximum number of requests that ran concurrently.
        late_work: Number of requests that arrived more than 2 s after the drain began.
    """

    outcomes: dict[str, int] = {}
    refused: dict[str, int] = {}
    repeated: dict[str, int] = {}
    most_running: int = 0
    late_work: int = 0


class Options(msgspec.Struct, frozen=True):
    """Properties of the upstream; the options of the command describe them."""

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
