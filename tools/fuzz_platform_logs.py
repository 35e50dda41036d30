"""Log lines of nodes during a run with odd entries, and the lines that the entries must leave."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from auburnsail._checked_input import EXCERPT_BYTES

__all__ = ["ExpectedLines", "Line", "NodeLogs", "line_of"]

# Texts of log lines that stand for an error which no part of the node expects.
ERROR_TEXTS = (b"unexpected error", b"Traceback", b"guarantee violated", b'"event":"violation"')
MAX_SHOWN = 10
REPORT = "report"

# Source, size and beginning of an input that could not be used.
Line = tuple[str, int, str]


def line_of(source: str, data: bytes) -> Line:
    """Returns the line that stands for an input of a source."""
    return source, len(data), repr(data[:EXCERPT_BYTES])


class NodeLogs:
    """Reads the output of nodes.

    Args:
        folder: Directory of the output files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def errors(self, node: str) -> list[str]:
        """Returns the lines of a node that stand for an unexpected error."""
        lines = [line for line in self._lines(node) if any(text in line for text in ERROR_TEXTS)]
        texts = [f"{node}: {line.decode('utf-8', 'replace')[:600]}" for line in lines[:MAX_SHOWN]]
        return texts + ([f"{node}: {len(lines)} such lines"] if len(lines) > MAX_SHOWN else [])

    def refused(self, node: str) -> Counter[Line]:
        """Returns the inputs that a node logged as not usable."""
        lines = [line for line in self._lines(node) if b'"event":"input not usable"' in line]
        events = [msgspec.json.decode(line) for line in lines]
        return Counter((event["source"], event["size"], event["excerpt"]) for event in events)

    def dropped(self, node: str) -> int:
        """Returns the number of lines of any kind that a node states to have dropped."""
        lines = [line for line in self._lines(node) if b'"event":"log lines dropped"' in line]
        return sum(msgspec.json.decode(line)["count"] for line in lines)

    def _lines(self, node: str) -> list[bytes]:
        return (self._folder / f"{node}.out").read_bytes().splitlines()


@dataclass(slots=True)
class ExpectedLines:
    """Lines that the odd entries must leave in the logs of nodes.

    Attributes:
        entries: Description of each entry that must have a line at some node, and the lines of
            which one must be there.
        rows: Number of rows of the fleet log by their line. A node logs each row at most once.
        reports: Number of refused reports by node.
        unanswered: Number of reports without an answer by node; these may have been refused.
    """

    entries: list[tuple[str, set[Line]]] = field(default_factory=list)
    rows: Counter[Line] = field(default_factory=Counter)
    reports: Counter[str] = field(default_factory=Counter)
    unanswered: Counter[str] = field(default_factory=Counter)

    def findings(
        self, refused: Mapping[str, Counter[Line]], counted: Mapping[str, int]
    ) -> list[str]:
        """Returns which lines are missing and which are too many.

        Args:
            refused: Number of logged inputs by line and node.
            counted: Number of inputs that a node counted as not usable, for nodes that have run
                since the beginning. Each must have been logged, so none may have been dropped.
        """
        findings = []
        for node, count in counted.items():
            if (total := refused[node].total()) != count:
                findings.append(f"{node}: {count} unusable inputs, {total} log lines")
            repeated = refused[node] - self.rows
            findings += [
                f"{node}: a row has {refused[node][line]} lines, written {count} times: {line}"
                for line, count in self.rows.items()
                if line in repeated
            ][:MAX_SHOWN]
        for node, lines in refused.items():
            total = sum(count for line, count in lines.items() if line[0] == REPORT)
            if not self.reports[node] <= total <= self.reports[node] + self.unanswered[node]:
                findings.append(f"{node}: {self.reports[node]} refused reports, {total} log lines")
        logged = set().union(*refused.values())
        missing = [text for text, lines in self.entries if not lines & logged]
        findings += [f"without a log line: {text}" for text in missing[:MAX_SHOWN]]
        if missing:
            findings.append(f"{len(missing)} refused entries without a log line")
        return findings
