"""Names of the HTTP headers that auburnsail reads and writes."""

__all__ = [
    "DEADLINE_MS",
    "GRANT",
    "HOP",
    "HOP_BY_HOP",
    "KEY",
    "NOT_RUN",
    "OUTCOME",
    "OWNER",
    "REASON",
    "RETRY_AFTER_MS",
]

DEADLINE_MS = "auburnsail-deadline-ms"
GRANT = "auburnsail-grant"
HOP = "auburnsail-hop"
KEY = "auburnsail-key"
NOT_RUN = "auburnsail-not-run"
OUTCOME = "auburnsail-outcome"
OWNER = "auburnsail-owner"
REASON = "auburnsail-reason"
RETRY_AFTER_MS = "auburnsail-retry-after-ms"

# RFC 9110 section 7.6.1 and RFC 9112: meaningful for one connection only.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
