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

    executions: Counter = field(default_factory=Counter)
    executions_by_attempt: Counter = field(default_factory=Counter)
    reported_outcomes: dict[str, str] = field(default_factory=dict)
    highest_epochs: dict[int, int] = field(default_factory=dict)
    outcome_counts: Counter = field(default_factory=Counter)

    def record_execution(self, attempt_id: str, method: str, grant: str) -> None:
        """Notes an execution.

        Raises:
            GuaranteeError: It must not take place.
        """
        request_id = attempt_id.partition(".")[0]
        self.executions[request_id] += 1
        self.executions_by_attempt[attempt_id] += 1
        if method == "POST" and self.executions[request_id] > 1:
            raise GuaranteeError("P5", f"request {attempt_id} ran twice")
        if self.reported_outcomes.get(attempt_id) in ("not-run", "refused"):
            raise GuaranteeError(
                "P4", f"request {attempt_id} ran after its caller was told otherwise"
            )
        if grant:
            _, shard, epoch, _ = grant.split(";")
            if int(epoch) < self.highest_epochs.get(int(shard), 0):
                raise GuaranteeError("P1", f"{attempt_id} ran under epoch {epoch} of shard {shard}")
            self.highest_epochs[int(shard)] = int(epoch)

    def record_reported_outcome(self, attempt_id: str, outcome: str) -> None:
        """Notes an outcome that a caller was told."""
        self.reported_outcomes[attempt_id] = outcome
        self.outcome_counts[outcome] += 1
        if outcome in ("not-run", "refused") and self.executions_by_attempt[attempt_id]:
            raise GuaranteeError("P4", f"request {attempt_id} ran, its caller was told {outcome}")

    def record_response(self, attempt_id: str, body: bytes, size: int) -> None:
        """Notes a response that looked complete."""
        self.outcome_counts["response"] += 1
        if not body.startswith(attempt_id.encode() + b";") or len(body) != size:
            raise GuaranteeError(
                "P3", f"request {attempt_id} got {body[:20]!r} of {len(body)} bytes"
            )
