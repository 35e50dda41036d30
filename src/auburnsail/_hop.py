"""The signed header that a node adds to a request that it forwards to another node."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote, unquote

from ._digest import blake2s, same_digest
from ._outcome import RequestFailedError, not_run, refused

__all__ = ["Hop", "HopSigner"]

# Limits how long a recorded header can be replayed. This compares the time of day on two VMs, which
# may jump on either; leases never depend on it.
MAX_AGE_S = 30
# Peers whose clocks differ are rare; the bound only limits the memory.
MAX_SKEWS = 8_192
MAX_HOPS = 4
CLOCK_DIFFERS = "clock-differs"


@dataclass(frozen=True, slots=True)
class Hop:
    """Data about a request that the first node sends to the next one.

    Attributes:
        request_id: Identifies the request in the logs of both nodes.
        deadline_ms: Time until the deadline when the request was forwarded.
        hops: Number of nodes that the request has passed.
        map_version: Version of the fleet log that the sender routed by.
        service: Service that the first node determined.
        repeatable: Whether the request may run more than once.
        priority: Priority among the requests of the service, 0 for the highest.
        kind: Requests of the same kind have similar service times and answer sizes.
        soft_deadline_ms: Time until the soft deadline, after which an answer has little value; 0
            for none.
        is_caller_retry: Whether the caller is retrying after a refusal.
        is_subrequest: Whether this is a subrequest of a request that holds a slot elsewhere.
    """

    request_id: str
    deadline_ms: int
    hops: int
    map_version: int
    service: str = ""
    repeatable: bool = False
    priority: int = 0
    kind: str = ""
    soft_deadline_ms: int = 0
    is_caller_retry: bool = False
    is_subrequest: bool = False


class HopSigner:
    """Signs and verifies hop headers.

    The signature also covers the method, the target and the key, so that a recorded header
    cannot be used for another request.

    Args:
        secret: The fleet secret.
        wall_s: Returns the wall-clock time in seconds.
    """

    def __init__(self, secret: str, wall_s: Callable[[], float] = time.time) -> None:
        self._key = blake2s(secret.encode(), person=b"hop").digest()
        self._wall_s = wall_s
        self._skews_s: dict[str, int] = {}

    def adopt_clock(self, peer: str, clock_s: int) -> bool:
        """Uses a peer's time of day in further headers for it, after it refused one.

        Args:
            peer: Address of the peer.
            clock_s: Time of day that its refusal states, 0 if it was refused for another reason.

        Returns:
            Whether the next header for the peer has another time.
        """
        if not clock_s:
            return False
        if len(self._skews_s) >= MAX_SKEWS:
            self._skews_s.clear()
        self._skews_s[peer] = clock_s - int(self._wall_s())
        return True

    def sign(self, hop: Hop, method: str, target: str, key: str, peer: str = "") -> str:
        """Returns the signed header value for a request with this method, target and key.

        Args:
            hop: Data about the request.
            method: Method of the request.
            target: Target of the request.
            key: Value of the key header, empty for none.
            peer: Address of the node that gets the request.
        """
        sent_s = int(self._wall_s()) + self._skews_s.get(peer, 0)
        text = (
            f"4;{quote(hop.request_id)};{hop.deadline_ms};{hop.hops};{hop.map_version}"
            f";{sent_s};{quote(hop.service)};{hop.repeatable:d};{hop.priority}"
            f";{quote(hop.kind)};{hop.soft_deadline_ms}"
            f";{hop.is_caller_retry:d};{hop.is_subrequest:d}"
        )
        return f"{text};{self._signature(text, method, target, key)}"

    def verify(self, value: str, method: str, target: str, key: str) -> Hop:
        """Returns the content of a header after verifying its signature, age and number of hops.

        Raises:
            RequestFailedError: The signature is wrong, or the header has expired, or the request
                passed through too many nodes. If the header has expired, the refusal states the
                time of day here.
        """
        text, _, signature = value.rpartition(";")
        expected = self._signature(text, method, target, key)
        if not same_digest(expected.encode(), signature.encode("latin-1")):
            raise _bad_hop("the signature does not match the request")
        # The signature proves that a node of the fleet wrote the header, so it is well formed.
        _, request_id, deadline_ms, hops, map_version, sent_s, *rest = text.split(";")
        service, repeatable, priority, kind, soft_deadline_ms, is_caller_retry, is_subrequest = rest
        clock_s = int(self._wall_s())
        if abs(clock_s - int(sent_s)) > MAX_AGE_S:
            detail = "the header is too old, or the time of day differs between the nodes"
            raise not_run(CLOCK_DIFFERS, detail, "hop", clock_s=clock_s)
        if int(hops) > MAX_HOPS:
            raise _bad_hop("the request passed through too many nodes")
        return Hop(
            unquote(request_id),
            int(deadline_ms),
            int(hops),
            int(map_version),
            unquote(service),
            repeatable == "1",
            int(priority),
            unquote(kind),
            int(soft_deadline_ms),
            is_caller_retry == "1",
            is_subrequest == "1",
        )

    def _signature(self, text: str, method: str, target: str, key: str) -> str:
        message = f"{text}\n{method}\n{target}\n{key}".encode("latin-1", "backslashreplace")
        return blake2s(message, key=self._key).hexdigest()


def _bad_hop(detail: str) -> RequestFailedError:
    return refused("403 Forbidden", "bad-hop", detail, "hop")
