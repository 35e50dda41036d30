"""Compares the executions of upstreams with the outcomes at callers (P1, P3, P4 and P5)."""

from collections import Counter
from dataclasses import dataclass, field

from tools.soak_nodes import GuaranteeError

__all__ = ["CheckedLedger"]


@dataclass
class CheckedLedger:
    """Executions at upstreams and outcomes at callers; every new record is checked.

    Attributes:
        executions: Number of executions by request.
        executions_by_attempt: Number of executions by attempt of a request.
        reported_outcomes: Outcomes other than a response, by attempt of a request.
        highest_epochs: Highest epoch of an execution for each shard.
        outcome_counts: Number of outcomes and responses by kind.
    """

    executions: Counter = field(default_factory=Counter)
    executions_by_attempt: Counter = field(default_factory=Counter)
    reported_outcomes: dict[str, str] = field(default_factory=dict)
    highest_epochs: dict[int, int] = field(default_factory=dict)
    outcome_counts: Counter = field(default_factory=Counter)

    def record_execution(self, attempt_id: str, method: str, grant: str) -> None:
        """Records an execution.

        Args:
            attempt_id: Request number and attempt number, separated by a dot.
            method: HTTP method.
            grant: Value of the grant header, empty if the request has none.

        Raises:
            GuaranteeError: The execution violates P1, P4 or P5.
        """
        request_id = attempt_id.partition(".")[0]
        self.executions[request_id] += 1
        self.executions_by_attempt[attempt_id] += 1
        if method == "POST" and self.executions[request_id] > 1:
            raise GuaranteeError("P5", f"request {attempt_id} ran twice")
        if self.reported_outcomes.get(attempt_id) in ("not-run", "refused"):
            raise GuaranteeError("P4", f"request {attempt_id} ran after it was reported as not run")
        if grant:
            _, shard, epoch, _ = grant.split(";")
            if int(epoch) < self.highest_epochs.get(int(shard), 0):
                raise GuaranteeError(
                    "P1", f"request {attempt_id} ran under the old epoch {epoch} of shard {shard}"
                )
            self.highest_epochs[int(shard)] = int(epoch)

    def record_reported_outcome(self, attempt_id: str, outcome: str) -> None:
        """Records an outcome that a caller received.

        Raises:
            GuaranteeError: The request ran, but the outcome says that it did not.
        """
        self.reported_outcomes[attempt_id] = outcome
        self.outcome_counts[outcome] += 1
        if outcome in ("not-run", "refused") and self.executions_by_attempt[attempt_id]:
            raise GuaranteeError("P4", f"request {attempt_id} ran, but was reported as {outcome}")

    def record_response(self, attempt_id: str, body: bytes, size: int) -> None:
        """Records a response of the length that its header announces.

        Raises:
            GuaranteeError: The response is incomplete or belongs to another request.
        """
        self.outcome_counts["response"] += 1
        if not body.startswith(attempt_id.encode() + b";") or len(body) != size:
            raise GuaranteeError(
                "P3", f"request {attempt_id} got {body[:20]!r} of {len(body)} bytes"
            )
