"""Header names and status line that callers and upstreams on the platform use."""

from .._dialect import Dialect

__all__ = ["DIALECT", "INSTANCE_HEADER"]

INSTANCE_HEADER = "x-auburnsail-instance-id"

DIALECT = Dialect(
    deadline_ms="x-auburnsail-deadline-ms",
    key="x-auburnsail-shard-key",
    request_id="x-auburnsail-attempt-id",
    caller_service="x-auburnsail-caller-service",
    expected_instance="x-auburnsail-expect-instance",
    instance=INSTANCE_HEADER,
    not_run="x-auburnsail-not-executed",
    server_seal="x-auburnsail-server-seal",
    load="x-auburnsail-server-load",
    whole_retry_after=False,
    not_run_status="503 Service Unavailable",
)
