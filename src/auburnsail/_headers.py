"""Names of the HTTP headers that auburnsail reads and writes."""

__all__ = [
    "DEADLINE_MS",
    "GRANT",
    "HOP",
    "HOP_BY_HOP",
    "INTERNAL_ANSWER_HEADERS",
    "KEY",
    "MAP_VERSION",
    "NOT_RUN",
    "OUTCOME",
    "OWNER",
    "PREFIX",
    "REASON",
    "RETRY_AFTER_MS",
    "UTILISATION",
]

PREFIX = "auburnsail-"
DEADLINE_MS = "auburnsail-deadline-ms"
GRANT = "auburnsail-grant"
HOP = "auburnsail-hop"
KEY = "auburnsail-key"
MAP_VERSION = "auburnsail-map-version"
NOT_RUN = "auburnsail-not-run"
OUTCOME = "auburnsail-outcome"
OWNER = "auburnsail-owner"
REASON = "auburnsail-reason"
RETRY_AFTER_MS = "auburnsail-retry-after-ms"
# Between nodes only: utilisation of an upstream, as counted by its node and as it reports itself.
UTILISATION = "auburnsail-use"

# Internal headers that a node may add to an answer to another node; upstreams may set none.
INTERNAL_ANSWER_HEADERS = frozenset({OWNER, MAP_VERSION})

# Headers that apply to one connection only (RFC 9110 section 7.6.1, RFC 9112).
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
