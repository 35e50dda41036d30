"""What upstreams ran and what callers were told, compared at each entry (P1, P3, P4, P5)."""

from collections import Counter
from dataclasses import dataclass, field

from tools.soak_nodes import GuaranteeError

__all__ = ["Ledger"]


@dataclass
class Ledger:
    """What upstreams ran and what callers were told.

    Attributes:
        runs: Executions by request.
        attempts: Executions by request and the caller's attempt.
        told: Outcomes other than a response by request and the caller's attempt.
        epochs: The highest epoch that ran for each shard.
    """

    runs: Counter = field(default_factory=Counter)
    attempts: Counter = field(default_factory=Counter)
    told: dict[str, str] = field(default_factory=dict)
    epochs: dict[int, int] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)

    def on_run(self, attempt: str, method: str, place: str) -> None:
        """Notes an execution.

        Raises:
            GuaranteeError: It must not take place.
        """
        number = attempt.partition(".")[0]
        self.runs[number] += 1
        self.attempts[attempt] += 1
        if method == "POST" and self.runs[number] > 1:
            raise GuaranteeError("P5", f"request {attempt} ran twice")
        if self.told.get(attempt) in ("not-run", "refused"):
            raise GuaranteeError("P4", f"request {attempt} ran after its caller was told otherwise")
        if place:
            _, shard, epoch, _ = place.split(";")
            if int(epoch) < self.epochs.get(int(shard), 0):
                raise GuaranteeError("P1", f"{attempt} ran under epoch {epoch} of shard {shard}")
            self.epochs[int(shard)] = int(epoch)

    def on_told(self, attempt: str, outcome: str) -> None:
        """Notes an outcome that a caller was told."""
        self.told[attempt] = outcome
        self.outcomes[outcome] += 1
        if outcome in ("not-run", "refused") and self.attempts[attempt]:
            raise GuaranteeError("P4", f"request {attempt} ran, its caller was told {outcome}")

    def on_response(self, attempt: str, body: bytes, size: int) -> None:
        """Notes a response that looked complete."""
        self.outcomes["response"] += 1
        if not body.startswith(attempt.encode() + b";") or len(body) != size:
            raise GuaranteeError("P3", f"request {attempt} got {body[:20]!r} of {len(body)} bytes")
