"""Commands that explain a request or a key from the log lines of the nodes."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

__all__ = ["explain_request", "key_history"]

# The id of a call consists of the id of the calling request, this separator and a suffix.
CALL_SEPARATOR = "."


def read_log_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yields the decoded log lines of files, or of standard input if no file is given.

    Lines without a JSON log record are skipped. Text before the JSON object of a line is ignored,
    since log collectors may prefix lines.
    """
    files = [path.open("rb") for path in paths] or [sys.stdin.buffer]
    for file in files:
        with file:
            for raw in file:
                start = raw.find(b"{")
                if start < 0:
                    continue
                try:
                    line = msgspec.json.decode(raw[start:])
                except msgspec.DecodeError:
                    continue
                if isinstance(line, dict) and "event" in line:
                    yield line


def lines_of_request(lines: Iterable[dict[str, Any]], request_id: str) -> list[dict[str, Any]]:
    """Returns the log lines of a request and of the calls it made, ordered by time."""
    call_prefix = request_id + CALL_SEPARATOR
    found = [
        line
        for line in lines
        if line.get("id") == request_id or str(line.get("id", "")).startswith(call_prefix)
    ]
    return sorted(found, key=lambda line: line.get("ts", 0.0))


def lines_of_key(lines: Iterable[dict[str, Any]], service: str, key: int) -> list[dict[str, Any]]:
    """Returns the earliest log line about each change of a key's owner, ordered by version.

    The new owner is added to each line as ``owner``.
    """
    by_version: dict[object, dict[str, Any]] = {}
    for line in lines:
        for first, last, owner in line.get("owners") or ():
            if line.get("service", service) == service and first <= key <= last:
                entry = {"owner": owner, **line}
                earliest = by_version.setdefault(line.get("version"), entry)
                if entry.get("ts", 0.0) < earliest.get("ts", 0.0):
                    by_version[line.get("version")] = entry
    return [
        by_version[version]
        for version in sorted(by_version, key=lambda version: (version is None, version))
    ]


def _format_line(line: dict[str, Any]) -> str:
    node = line.get("node") or line.get("address") or ""
    role = "upstream's node" if line.get("hop") else "first node"
    parts = [f"{line.get('ts', 0.0):.3f} {node} ({role}): {line['event']}"]
    for name in ("id", "service", "outcome", "reason", "detail", "status", "peer"):
        if line.get(name) not in (None, ""):
            parts.append(f"{name}={line[name]}")
    for attempt in line.get("attempts") or ():
        parts.append(f"after {attempt}")
    for name in ("age_ms", "left_ms", "wanted_ms", "map_version"):
        if name in line:
            parts.append(f"{name}={line[name]}")
    return ", ".join(parts)


def _print_lines(
    lines: list[dict[str, Any]], as_json: bool, not_found_message: str, texts: list[str]
) -> None:
    if as_json:
        click.echo(msgspec.json.encode(lines).decode())
    elif not lines:
        click.echo(not_found_message)
    else:
        for text in texts:
            click.echo(text)
    if not lines:
        sys.exit(1)


@click.command("explain-request")
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.Path(path_type=Path, exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print the log lines as JSON.")
def explain_request(request_id: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Shows the decisions of the nodes about a request, from their logs or standard input."""
    found = lines_of_request(read_log_lines(logs), request_id)
    not_found_message = (
        f"no log line about {request_id}: answered at the first attempt, or not sampled"
    )
    _print_lines(found, as_json, not_found_message, [_format_line(line) for line in found])


@click.command("key-history")
@click.argument("service")
@click.argument("key", type=int)
@click.argument("logs", nargs=-1, type=click.Path(path_type=Path, exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print the log lines as JSON.")
def key_history(service: str, key: int, logs: tuple[Path, ...], as_json: bool) -> None:
    """Shows the owners of a key in an ordered key space, from node logs or standard input."""
    found = lines_of_key(read_log_lines(logs), service, key)
    texts = [
        f"{line.get('ts', 0.0):.3f} version {line.get('version')}: {line.get('kind')} to "
        f"{line['owner']} ({line.get('reason')})"
        for line in found
    ]
    _print_lines(found, as_json, f"no log line about key {key} of {service}", texts)
