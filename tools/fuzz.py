"""Feeds the decoders at the border with mutated input for a time and reports unexpected errors.

Each round takes a valid input of one decoder, replaces parts of it by odd values or changes its
bytes, and passes it on. A decoder may refuse an input only with the errors that its callers expect.
A round is repeatable by its seed. `tools/fuzz_nodes.py` runs whole nodes.
"""

import logging
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace

import click
import msgspec
import structlog

from auburnsail import _headers
from auburnsail._answer_parser import AnswerParser, HTTPParseError
from auburnsail._checkpoint import dump_fleet, restore_fleet
from auburnsail._fleet import FleetState
from auburnsail._http_head import parse_head
from auburnsail._log_follower import FleetFollower
from auburnsail._messages import Codec, Renewal, Versions
from auburnsail._model import Entry, Join, Session, SessionId, encode_entry
from auburnsail._outcome import RequestFailedError, not_run, parse_refusal
from auburnsail._store import Row
from auburnsail._versioned_log import LogRecord, VersionedLog
from auburnsail.exceptions import InvalidInputError, InvariantViolation, SettingsError
from auburnsail.platform._desired_state import RetryLimits, decode_desired_state
from auburnsail.platform._header_names import DIALECT
from auburnsail.platform._reports import decode_report

REPORT = {
    "address": "10.1.0.41:8",
    "info": {"service": "s1", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "cold-remaining-ms": 100},
    "born": 1_700_000_000_000,
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e"]],
}
ROUTE = {
    "host": "h.example",
    "path-prefix": "/a/",
    "kind": "safe",
    "timeout-ms": 1000,
    "target-latency-ms": 400,
    "weighted-split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
}
DESIRED_STATE = {
    "version": 7,
    "resources": [
        {"resource-type": "routes", "metadata": {"name": "r1"}, "spec": ROUTE},
        {"resource-type": "services", "metadata": {"name": "s1"}, "spec": {"sharded": True}},
    ],
}
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Auburnsail-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n"
)
REQUEST_HEAD = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Auburnsail-Attempt-Id: a\r\n"
    b"X-Auburnsail-Deadline-Ms: 1500\r\nX-Auburnsail-Shard-Key: 17\r\nContent-Length: 3"
)
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    2**53,
    2**63,
    2**64 - 1,
    "",
    "x" * 70_000,
    "\x00\U0001f600",
    [],
    {},
    "10.128.0.9:70000",
    "300.1.1.1:80",
)
MAX_DEPTH = 100_000


def mutate_value(rng: random.Random, value: object) -> object:
    """Returns a JSON-like value in which one part is odd."""
    if isinstance(value, dict) and value and rng.random() < 0.85:
        changed = dict(value)
        name = rng.choice(list(value))
        if rng.random() < 0.15:
            del changed[name]
        else:
            changed[name] = mutate_value(rng, value[name])
        return changed
    if isinstance(value, list | tuple) and value and rng.random() < 0.85:
        changed = list(value)
        index = rng.randrange(len(changed))
        changed[index] = mutate_value(rng, changed[index])
        return changed
    return rng.choice(ODD_VALUES)


def mutate_bytes(rng: random.Random, data: bytes) -> bytes:
    """Returns bytes with a change: a flip, a cut, a repetition, or deep nesting inside."""
    position = rng.randrange(len(data) + 1)
    match rng.randrange(6):
        case 0:
            return data[:position]
        case 1:
            return data[:position] + bytes([rng.randrange(256)]) + data[position + 1 :]
        case 2:
            return data[:position] + data
        case 3:
            return data[:position] + rng.choice((b"[", b'{"a":', b"\x91")) * MAX_DEPTH
        case 4:
            return data[:position] + b"9" * rng.choice((20, 5_000)) + data[position:]
    return data[:position] + rng.randbytes(8) + data[position:]


def _mutated_json(rng: random.Random, value: object) -> bytes:
    data = msgspec.json.encode(mutate_value(rng, value))
    return mutate_bytes(rng, data) if rng.random() < 0.4 else data


def _session(name: str) -> Session:
    return Session(SessionId(name, 1), "r", "d", "10.0.0.1:1", "10.0.0.1:2", "s", 4)


def fuzz_report(rng: random.Random) -> None:
    """Decodes a report of an upstream."""
    decode_report("i", _mutated_json(rng, REPORT))


def fuzz_desired_state(rng: random.Random) -> None:
    """Decodes a desired state."""
    decode_desired_state(_mutated_json(rng, DESIRED_STATE), RetryLimits(0.2, 56))


def fuzz_fleet_log(rng: random.Random) -> None:
    """Lets two nodes follow a log with a foreign row between two entries.

    Raises:
        AssertionError: A node stops, or the nodes differ.
        InvariantViolation: The row is a well-formed entry of its position with another predecessor.
            Only a node whose state differs from the fleet's sees that otherwise, so the node must
            not go on.
    """
    rows: dict[str, Row] = {}
    table = SimpleNamespace(
        scan=lambda prefix, after: [rows[key] for key in sorted(rows) if key > after]
    )
    log, fleets = VersionedLog(table, "fleet"), (FleetState(), FleetState())
    followers = [FleetFollower(fleet) for fleet in fleets]
    for position in range(1, 4):
        name = f"n{position}"
        entry = Entry(position, fleets[0].digest, name, (Join(name, _session(name)),))
        data = msgspec.msgpack.encode(LogRecord(position, name, encode_entry(entry)))
        key = f"fleet/log/{position:016d}"
        rows[key] = Row(key, 1, mutate_bytes(rng, data) if position == 2 else data)
        for fleet, follower in zip(fleets, followers, strict=True):
            for record in log.read_after(fleet.version):
                follower.offer(record.data, "", record.version)
    assert fleets[0].version == fleets[1].version == 3, "a node does not follow the log"
    assert fleets[0].digest == fleets[1].digest, "the nodes differ"


def fuzz_datagram(rng: random.Random) -> None:
    """Decodes a message between nodes with a valid tag."""
    codec = Codec("secret", 1)
    node = SessionId("a", 1)
    message = rng.choice((Versions(3, 4), Renewal(node, node, 1, 2, 3)))
    codec.decode(codec.sign(mutate_bytes(rng, codec.encode(message)[16:])))


def fuzz_checkpoint(rng: random.Random) -> None:
    """Restores a checkpoint."""
    fleet = FleetState()
    fleet.apply(Entry(1, b"", "x", (Join("n", _session("n")),)))
    restore_fleet(FleetState(), mutate_bytes(rng, dump_fleet(fleet)))


def fuzz_answer(rng: random.Random) -> None:
    """Parses an answer of an upstream in pieces."""
    parser = AnswerParser("GET", ("x-auburnsail-attempt-id", "a"))
    data = mutate_bytes(rng, ANSWER)
    size = rng.choice((1, 7, 4_096)) if len(data) < 1_000 else 4_096
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
        parser.pop_body()


def fuzz_request_head(rng: random.Random) -> None:
    """Parses the head of a request."""
    parse_head(mutate_bytes(rng, REQUEST_HEAD), DIALECT)


def fuzz_refusal(rng: random.Random) -> None:
    """Parses a refusal of another node."""
    body = mutate_bytes(rng, not_run("moving", "text", "gate").refusal.body())
    parse_refusal("503 x", {_headers.OUTCOME: "not-run"}, body, "10.0.0.1:1")


# Decoders with the errors that their callers expect.
TARGETS: tuple[tuple[Callable[[random.Random], None], tuple[type[Exception], ...]], ...] = (
    (fuzz_report, (InvalidInputError,)),
    (fuzz_desired_state, (SettingsError,)),
    (fuzz_fleet_log, (InvariantViolation,)),
    (fuzz_datagram, ()),
    (fuzz_checkpoint, (InvalidInputError,)),
    (fuzz_answer, (HTTPParseError,)),
    (fuzz_request_head, (RequestFailedError,)),
    (fuzz_refusal, ()),
)


def run_round(seed: int) -> tuple[str, Exception | None]:
    """Runs one round; returns the name of its target and the unexpected error, if any."""
    rng = random.Random(seed)
    target, expected = rng.choice(TARGETS)
    try:
        target(rng)
    except expected:
        pass
    except Exception as error:
        return target.__name__, error
    return target.__name__, None


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the first round.")
@click.option("--duration-s", default=60.0, show_default=True, help="Time to run in seconds.")
def main(seed: int, duration_s: float) -> None:
    """Runs rounds for a time; exits with 1 if an error was unexpected."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    end_s = time.monotonic() + duration_s
    counts: Counter[str] = Counter()
    findings = 0
    first_seed = seed
    while time.monotonic() < end_s:
        name, error = run_round(seed)
        counts[name] += 1
        if error is not None:
            findings += 1
            click.echo(f"{name}, seed {seed}: {error!r}"[:400])
        seed += 1
    for name, count in sorted(counts.items()):
        click.echo(f"{name}: {count} inputs")
    click.echo(f"{counts.total()} inputs from seed {first_seed}, {findings} unexpected errors")
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
