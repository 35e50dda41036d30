"""The HTTP data path: receives requests, routes them and passes answers back."""

from collections.abc import Callable, Iterator

from . import _headers
from ._gate import RequestGate
from ._outcome import Outcome, Refusal
from ._pool import Exchange, HttpPeer
from ._routing import Forward, Local, Refuse, Router, Target
from .exceptions import NotRunError, OutcomeUnknownError

__all__ = ["ProxyApplication"]

RETRY_HINT_MS = 250
BLOCK_BYTES = 64 * 1024


class ProxyApplication:
    """WSGI application that forwards requests.

    Args:
        router: Decides where a request goes.
        upstream_address: Returns the address of the upstream beside this node, or None.
        gate: Admits requests to that upstream.
    """

    def __init__(
        self,
        router: Router,
        upstream_address: Callable[[], str | None],
        gate: RequestGate,
    ) -> None:
        self._router = router
        self._upstream_address = upstream_address
        self._gate = gate
        self._peers: dict[str, HttpPeer] = {}

    def __call__(self, environ: dict, start_response) -> Iterator[bytes]:
        """Serves one request."""
        key = environ.get("HTTP_AUBURNSAIL_KEY")
        is_forwarded = "HTTP_AUBURNSAIL_HOP" in environ
        route = self._router.route(environ["PATH_INFO"], key)
        match route:
            case Refuse(refusal=refusal):
                return _refuse(refusal, start_response)
            case Local(target=target):
                return self._serve_local(target, environ, start_response)
            case Forward() if is_forwarded:
                refusal = _not_run("not-owner", "another node owns the key", "route")
                return _refuse(refusal, start_response)
            case Forward(target=target, session=session):
                extra = [(_headers.HOP, "1")]
                owner = (_headers.OWNER, session.data_address)
                return self._send(session.data_address, environ, extra, [owner], start_response)

    def _serve_local(self, target: Target, environ: dict, start_response) -> Iterator[bytes]:
        address = self._upstream_address()
        if address is None:
            refusal = _not_run("no-upstream", "no upstream has announced itself", "route")
            return _refuse(refusal, start_response)
        reason = self._gate.enter(target.service, target.shard)
        if reason:
            refusal = _not_run(reason, "this node does not serve the request now", "admission")
            return _refuse(refusal, start_response)
        return self._run_local(address, target, environ, start_response)

    def _run_local(
        self, address: str, target: Target, environ: dict, start_response
    ) -> Iterator[bytes]:
        try:
            extra = []
            if target.shard >= 0:
                place = f"{target.service};{target.shard};{target.epoch}"
                extra.append((_headers.GRANT, f"{place};{self._gate.expires_ns()}"))
            yield from self._send(address, environ, extra, [], start_response, target)
        finally:
            self._gate.leave(target.service, target.shard)

    def _send(
        self,
        address: str,
        environ: dict,
        extra: list,
        answer_extra: list,
        start_response,
        local: Target | None = None,
    ) -> Iterator[bytes]:
        peer = self._peers.setdefault(address, HttpPeer(address))
        try:
            exchange = peer.open()
        except NotRunError as error:
            refusal = _not_run("connect-failed", error.detail, error.step, error.peer)
            return _refuse(refusal, start_response)
        reason = self._gate.confirm(local.service, local.shard, local.epoch) if local else ""
        if reason:
            exchange.abort()
            refusal = _not_run(reason, "ownership ended before the request was sent", "send")
            return _refuse(refusal, start_response)
        try:
            exchange.send(_request_head(address, environ, extra))
            for block in iter(lambda: environ["wsgi.input"].read(BLOCK_BYTES), b""):
                exchange.send(block)
            response = exchange.receive_head(environ["REQUEST_METHOD"])
        except OutcomeUnknownError as error:
            refusal = Refusal(
                "502 Bad Gateway",
                Outcome.UNKNOWN,
                "no-answer",
                error.detail,
                error.step,
                error.peer,
            )
            return _refuse(refusal, start_response)
        fields = [item for item in response.items() if item[0].lower() not in _headers.HOP_BY_HOP]
        start_response(f"{response.get_code()} {response.status_message}", fields + answer_extra)
        return _body(exchange)


def _body(exchange: Exchange) -> Iterator[bytes]:
    try:
        while block := exchange.read():
            yield block
    finally:
        exchange.finish()


def _request_head(address: str, environ: dict, extra: list[tuple[str, str]]) -> bytes:
    target = environ["PATH_INFO"]
    if environ["QUERY_STRING"]:
        target += "?" + environ["QUERY_STRING"]
    lines = [f"{environ['REQUEST_METHOD']} {target} HTTP/1.1", f"Host: {address}"]
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            field = name[5:].replace("_", "-").lower()
            if field not in _headers.HOP_BY_HOP and field not in ("host", "auburnsail-hop"):
                lines.append(f"{field}: {value}")
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            lines.append(f"{name.replace('_', '-').lower()}: {environ[name]}")
    lines += [f"{name}: {value}" for name, value in extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _not_run(reason: str, detail: str, step: str, peer: str = "") -> Refusal:
    status = "503 Service Unavailable"
    return Refusal(status, Outcome.NOT_RUN, reason, detail, step, peer, RETRY_HINT_MS)


def _refuse(refusal: Refusal, start_response) -> list[bytes]:
    body = refusal.body()
    start_response(refusal.status, [*refusal.headers(), ("content-length", str(len(body)))])
    return [body]
