"""Header names that callers and upstreams use; an adapter may replace the built-in ones."""

from dataclasses import dataclass, field

from . import _headers

__all__ = ["DEFAULT_DIALECT", "Dialect"]


@dataclass(frozen=True, slots=True)
class Dialect:
    """Lower-case header names and related rules; an empty name disables a header.

    Attributes:
        deadline_ms: Time in milliseconds that the sender waits for the answer.
        key: Key of a request to a keyed service.
        request_id: Id of one attempt of a caller; upstreams repeat it in their answers.
        caller_service: Service of the VM that sent the request, set by the first node.
        expected_instance: Id of the only upstream instance that may run the request.
        instance: Id of the upstream instance that answered.
        not_run: Marks an upstream's answer which states that the request was not run.
        server_seal: Proof that an answer comes from the upstream; a success must have it.
        load: Load that the upstream reports.
        whole_retry_after: Whether ``Retry-After`` allows whole seconds only.
        not_run_status: Status line of every "not run" refusal, empty for one that depends on the
            reason.
        single: Headers that a request may contain only once.
        kept_aside: Headers that go to `parsed_headers` of a request instead of `forwarded_lines`.
    """

    deadline_ms: str = _headers.DEADLINE_MS
    key: str = _headers.KEY
    request_id: str = ""
    caller_service: str = ""
    expected_instance: str = ""
    instance: str = ""
    not_run: str = _headers.NOT_RUN
    server_seal: str = ""
    load: str = ""
    whole_retry_after: bool = True
    not_run_status: str = ""
    single: frozenset[str] = field(init=False)
    kept_aside: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        named = {self.deadline_ms, self.key, self.request_id, self.caller_service}
        named |= {self.expected_instance, _headers.HOP} - {""}
        single = {"host", "content-length", "transfer-encoding", "expect"} | (named - {""})
        object.__setattr__(self, "single", frozenset(single))
        object.__setattr__(self, "kept_aside", frozenset(single | _headers.HOP_BY_HOP))


DEFAULT_DIALECT = Dialect()
