"""Greenlets whose unexpected errors end one unit of work and nothing else."""

from collections import Counter
from collections.abc import Callable

import gevent
import structlog

__all__ = ["report_unexpected", "spawn", "spawn_later", "spawn_restarting", "unexpected_errors"]

RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0

# Number of unexpected errors, by the work that failed, since the start of the process.
unexpected_errors: Counter[str] = Counter()


def report_unexpected(name: str, error: BaseException) -> None:
    """Counts an error that no part of the program handles, and logs it with its traceback."""
    unexpected_errors[name] += 1
    structlog.get_logger("supervision").error(
        "unexpected error", work=name, error=repr(error)[:500], exc_info=error
    )


def spawn(name: str, work: Callable[..., object], *arguments: object) -> gevent.Greenlet:
    """Runs work in a greenlet and reports an unexpected error of it.

    Args:
        name: Name of the work in counters and log lines.
        work: Called with the arguments.
        arguments: Arguments of the work.
    """
    return gevent.spawn(_run, name, work, *arguments)


def spawn_later(
    delay_s: float, name: str, work: Callable[..., object], *arguments: object
) -> gevent.Greenlet:
    """Runs work in a greenlet after a delay in seconds; see `spawn`."""
    return gevent.spawn_later(delay_s, _run, name, work, *arguments)


def spawn_restarting(
    name: str, work: Callable[[], object], sleep: Callable[[float], None] = gevent.sleep
) -> gevent.Greenlet:
    """Runs work that must go on for as long as the process runs.

    After an unexpected error the work is started again, after a delay that doubles with each error.

    Args:
        name: Name of the work in counters and log lines.
        work: Returns only when it is no longer needed.
        sleep: Waits for a time in seconds.
    """

    def run() -> None:
        delay_s = RESTART_MIN_S
        while not _run(name, work):
            sleep(delay_s)
            delay_s = min(RESTART_MAX_S, 2 * delay_s)

    return gevent.spawn(run)


def _run(name: str, work: Callable[..., object], *arguments: object) -> bool:
    """Runs work; returns whether it ended without an unexpected error."""
    try:
        work(*arguments)
    except Exception as error:
        report_unexpected(name, error)
        return False
    return True
