"""The HTTP data path: receives requests, routes them and passes answers back."""

from collections.abc import Callable, Iterator

from . import _headers
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
        may_serve: Whether this node's lease is valid now.
    """

    def __init__(
        self,
        router: Router,
        upstream_address: Callable[[], str | None],
        may_serve: Callable[[], bool],
    ) -> None:
        self._router = router
        self._upstream_address = upstream_address
        self._may_serve = may_serve
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
        if not self._may_serve():
            refusal = _not_run("no-lease", "this node holds no valid lease", "lease")
            return _refuse(refusal, start_response)
        extra = []
        if target.shard >= 0:
            grant = f"{target.service};{target.shard};{target.epoch}"
            extra.append((_headers.GRANT, grant))
        return self._send(address, environ, extra, [], start_response)

    def _send(
        self, address: str, environ: dict, extra: list, answer_extra: list, start_response
    ) -> Iterator[bytes]:
        peer = self._peers.setdefault(address, HttpPeer(address))
        try:
            exchange = peer.open()
        except NotRunError as error:
            refusal = _not_run("connect-failed", error.detail, error.step, error.peer)
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
