"""Header names that callers and upstreams speak; the product's own unless an adapter states others."""

from dataclasses import dataclass, field

from . import _headers

__all__ = ["DEFAULT_DIALECT", "Dialect"]


@dataclass(frozen=True, slots=True)
class Dialect:
    """Lower-case header names; an empty name means that there is no such header.

    Attributes:
        deadline_ms: Milliseconds that the sender waits for the answer.
        key: Key of a request to a keyed service.
        request_id: Identifies one attempt of a caller; upstreams repeat it in their answers.
        caller_service: Service of the VM on which a request arose, set by the first node.
        expected_instance: Instance that alone may run the request.
        instance: Instance that answered.
        not_run: Marks an upstream's answer that says that the request was not run.
        seal: Upstream's proof of an answer; a success without it is not the upstream's.
        load: Upstream's statement of its load.
        whole_retry_after: Whether ``Retry-After`` takes whole seconds only.
        not_run_status: Status of every refusal that says "not run", empty for one by reason.
    """

    deadline_ms: str = _headers.DEADLINE_MS
    key: str = _headers.KEY
    request_id: str = ""
    caller_service: str = ""
    expected_instance: str = ""
    instance: str = ""
    not_run: str = _headers.NOT_RUN
    seal: str = ""
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
