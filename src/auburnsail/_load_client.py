"""Sends planned requests at most once and classifies their answers."""

from dataclasses import dataclass

import msgspec

from ._headers import DEADLINE_MS, NOT_RUN, OUTCOME, OWNER, REASON
from ._pool import Answer, HttpPeer
from .exceptions import NotRunError, OutcomeUnknownError

__all__ = [
    "NO_ANSWER",
    "NO_CONNECTION",
    "OK",
    "UNNAMED",
    "WRONG_CALLER",
    "LoadClient",
    "RequestResult",
    "classify",
]

OK = "ok"
NO_ANSWER = "no-answer"
NO_CONNECTION = "no-connection"
WRONG_CALLER = "wrong-caller"
UNNAMED = "unnamed"
NOT_RUN_BY_UPSTREAM = "not-run/upstream"

REQUEST_ID = "x-request-id"
CONNECT_ATTEMPTS = 3
MAX_CACHED_OWNERS = 100_000


@dataclass(slots=True)
class RequestResult:
    """Result of a request.

    Attributes:
        outcome: ``ok``; ``upstream-<status>`` for an upstream's answer other than 2xx;
            ``<outcome>/<reason>`` for a node's own answer; ``not-run/upstream`` if the upstream
            reported that it did not run the request; ``no-connection``; ``no-answer``;
            ``wrong-caller`` if the answer names another request; or ``unnamed`` if a successful
            answer names no request.
        address: Address of the node that the request was sent to.
        status: HTTP status, or 0 without an answer.
        size: Size of the answer's body in bytes.
    """

    outcome: str
    address: str
    status: int = 0
    size: int = 0


class LoadClient:
    """Selects a node for each request and sends the request at most once.

    Args:
        addresses: Addresses of nodes.
        follows_owner: Whether the next request for a key is sent to the node that an answer named
            as the key's owner.
        avoid_s: Time in seconds during which a node that did not answer is avoided.
    """

    def __init__(self, addresses: tuple[str, ...], follows_owner: bool, avoid_s: float) -> None:
        self._addresses = addresses
        self._peers = {address: HttpPeer(address) for address in addresses}
        self._follows_owner = follows_owner
        self._owners: dict[str, str] = {}
        self._avoid_s = avoid_s
        self._avoided_until_s: dict[str, float] = {}
        self._rotation = 0

    def send(
        self,
        request_id: str,
        method: str,
        request_target: str,
        body: bytes,
        *,
        key: str,
        deadline_ms: int,
        now_s: float,
    ) -> RequestResult:
        """Sends a request and waits for its answer.

        If a node refuses the connection it has not received the request, so the request is sent to
        another node. In all other cases it is not sent again.

        Args:
            request_id: Unique identifier of the request.
            method: HTTP method.
            request_target: Request target.
            body: Request body.
            key: Key of the request, to look up its owner; may be empty.
            deadline_ms: Deadline of the request in milliseconds after it is sent, and its timeout.
            now_s: Time since the start of the run in seconds.
        """
        headers = ((REQUEST_ID, request_id), (DEADLINE_MS, str(deadline_ms)))
        tried: list[str] = []
        for _ in range(min(CONNECT_ATTEMPTS, len(self._addresses))):
            address = self._choose_node(key, now_s, tried)
            tried.append(address)
            try:
                answer = self._peers[address].fetch(
                    method, request_target, body, timeout_s=deadline_ms / 1000, headers=headers
                )
            except NotRunError:
                self._avoid(address, key, now_s)
                continue
            except OutcomeUnknownError:
                self._avoid(address, key, now_s)
                return RequestResult(NO_ANSWER, address)
            return self._handle_answer(answer, request_id, address, key)
        return RequestResult(NO_CONNECTION, tried[-1])

    def _handle_answer(
        self, answer: Answer, request_id: str, address: str, key: str
    ) -> RequestResult:
        headers = {name.lower(): value for name, value in answer.headers}
        owner = headers.get(OWNER)
        if self._follows_owner and key and owner:
            if len(self._owners) >= MAX_CACHED_OWNERS:
                self._owners.clear()
            self._owners[key] = owner
            self._peers.setdefault(owner, HttpPeer(owner))
        outcome = classify(answer.status, headers, answer.body, request_id)
        return RequestResult(outcome, address, answer.status, len(answer.body))

    def _choose_node(self, key: str, now_s: float, tried: list[str]) -> str:
        owner = self._owners.get(key)
        if (
            owner is not None
            and owner not in tried
            and self._avoided_until_s.get(owner, 0.0) <= now_s
        ):
            return owner
        self._rotation += 1
        start = self._rotation % len(self._addresses)
        order = self._addresses[start:] + self._addresses[:start]
        untried = [address for address in order if address not in tried]
        not_avoided = (
            address for address in untried if self._avoided_until_s.get(address, 0.0) <= now_s
        )
        return next(not_avoided, untried[0])

    def _avoid(self, address: str, key: str, now_s: float) -> None:
        self._avoided_until_s[address] = now_s + self._avoid_s
        self._owners.pop(key, None)


def classify(status: int, headers: dict[str, str], body: bytes, request_id: str) -> str:
    """Returns the outcome of an answer; see `RequestResult`.

    Args:
        status: HTTP status.
        headers: Headers of the answer with names in lower case.
        body: Body of the answer.
        request_id: Identifier of the request that was sent on this connection.
    """
    named_ids = {
        name for name in (headers.get(REQUEST_ID), _request_id_in_body(headers, body)) if name
    }
    if named_ids - {request_id}:
        return WRONG_CALLER
    if OUTCOME in headers:
        return f"{headers[OUTCOME]}/{headers.get(REASON, '')}"
    if headers.get(NOT_RUN) == "1":
        return NOT_RUN_BY_UPSTREAM
    if not 200 <= status < 300:
        return f"upstream-{status}"
    return OK if named_ids else UNNAMED


def _request_id_in_body(headers: dict[str, str], body: bytes) -> str | None:
    # The upstream stand-in answers with a JSON object that starts with this field.
    if not body.startswith(b'{"upstream"'):
        return None
    try:
        return msgspec.json.decode(body).get("request")
    except msgspec.DecodeError:
        return None
