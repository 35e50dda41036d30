"""Counters and latency histograms of a node, in the Prometheus text format.

The official client library is not used: it takes 6.6 MB, a fifth of a node's memory limit.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["Metrics", "MetricsApplication", "Observers"]

# Upper bounds of the buckets; latency objectives lie between 0.1 and 1.3 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.5)
NS_PER_S = 1_000_000_000

Gauges = Callable[[], dict[str, float]]


class _Histogram:
    __slots__ = ("buckets", "count", "total_s")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BUCKETS_S) + 1)
        self.count = 0
        self.total_s = 0.0

    def add(self, value_s: float) -> None:
        self.buckets[bisect_left(BUCKETS_S, value_s)] += 1
        self.count += 1
        self.total_s += value_s


class Metrics:
    """Counts requests and latencies of the request path; implements `Observer`.

    Args:
        gauges: Returns current gauge values by name; called by `render`.
    """

    def __init__(self, gauges: Gauges = dict) -> None:
        self._requests: Counter[tuple[str, str, str]] = Counter()
        self._latency: dict[str, _Histogram] = {}
        self._upstream_latency: dict[str, _Histogram] = {}
        self.gauges = gauges

    def on_answer(
        self, service: str, shard: int, outcome: str, status: int, duration_ns: int, reason: str
    ) -> None:
        """Implements `Observer.on_answer`."""
        outcome_label = outcome or ("answered" if status < 500 else "upstream-error")
        self._requests[service, outcome_label, reason] += 1
        if not outcome:
            self._latency.setdefault(service, _Histogram()).add(duration_ns / NS_PER_S)

    def on_served(self, service: str, duration_ns: int) -> None:
        """Implements `Observer.on_served`."""
        self._upstream_latency.setdefault(service, _Histogram()).add(duration_ns / NS_PER_S)

    def render(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = ["# TYPE auburnsail_requests_total counter"]
        for (service, outcome, reason), count in sorted(self._requests.items()):
            labels = _labels(service=service, outcome=outcome, reason=reason)
            lines.append(f"auburnsail_requests_total{labels} {count}")
        lines += _histogram_lines("auburnsail_request_seconds", self._latency)
        lines += _histogram_lines("auburnsail_upstream_seconds", self._upstream_latency)
        for name, value in sorted(self.gauges().items()):
            lines += [f"# TYPE auburnsail_{name} gauge", f"auburnsail_{name} {value:g}"]
        return "\n".join(lines) + "\n"


class Observers:
    """Forwards each call of the request path to several observers; implements `Observer`.

    Args:
        observers: Observers, called in this order.
    """

    def __init__(self, observers: Iterable) -> None:
        self._observers = tuple(observers)

    def on_answer(self, *arguments) -> None:
        """Implements `Observer.on_answer`."""
        for observer in self._observers:
            observer.on_answer(*arguments)

    def on_served(self, *arguments) -> None:
        """Implements `Observer.on_served`."""
        for observer in self._observers:
            observer.on_served(*arguments)


class MetricsApplication:
    """WSGI application of the metrics address.

    Args:
        metrics: Metrics to render.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def __call__(self, environ: dict[str, Any], start_response) -> list[bytes]:
        """Serves one WSGI request."""
        body = self._metrics.render().encode()
        headers = [("content-type", "text/plain; version=0.0.4")]
        start_response("200 OK", [*headers, ("content-length", str(len(body)))])
        return [body]


def _labels(**values: str) -> str:
    return "{" + ",".join(f'{name}="{value}"' for name, value in values.items()) + "}"


def _histogram_lines(name: str, histograms: dict[str, _Histogram]) -> list[str]:
    lines = [f"# TYPE {name} histogram"]
    for service, histogram in sorted(histograms.items()):
        cumulative = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), histogram.buckets, strict=True):
            cumulative += count
            lines.append(f"{name}_bucket{_labels(service=service, le=str(bound))} {cumulative}")
        lines.append(f"{name}_sum{_labels(service=service)} {histogram.total_s:g}")
        lines.append(f"{name}_count{_labels(service=service)} {histogram.count}")
    return lines
