"""Log lines that nodes wrote during a run with odd entries."""

from collections import Counter
from pathlib import Path

import msgspec

from auburnsail._checked_input import EXCERPT_BYTES

__all__ = ["NodeLogs", "line_of"]

# Texts of log lines that stand for an error which no part of the node expects.
ERROR_TEXTS = (b"unexpected error", b"Traceback", b"guarantee violated", b'"event":"violation"')
MAX_ERRORS = 10

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
        texts = [f"{node}: {line.decode('utf-8', 'replace')[:600]}" for line in lines[:MAX_ERRORS]]
        return texts + ([f"{node}: {len(lines)} such lines"] if len(lines) > MAX_ERRORS else [])

    def refused(self, node: str) -> tuple[Counter[Line], int]:
        """Returns the inputs that a node logged as not usable, and the number of dropped lines."""
        refused: Counter[Line] = Counter()
        dropped = 0
        for line in self._lines(node):
            if b'"event":"log lines dropped"' in line:
                dropped += msgspec.json.decode(line)["count"]
            elif b'"event":"input not usable"' in line:
                fields = msgspec.json.decode(line)
                refused[fields["source"], fields["size"], fields["excerpt"]] += 1
        return refused, dropped

    def _lines(self, node: str) -> list[bytes]:
        return (self._folder / f"{node}.out").read_bytes().splitlines()
