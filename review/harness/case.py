"""Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import CannotRunError, Deployment, Terms

TIME_LIMIT_S = 110.0


def has_trouble() -> bool:
    """Returns whether the case includes its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    play: Callable[[Deployment, bool], Awaitable[list[str]]],
    terms: Terms | None = None,
) -> None:
    """Plays a case, writes its record and ends the process.

    Args:
        folder: Folder of the case, for ``record.txt``.
        play: Plays the case and returns one line for each breach of the rule.
        terms: Figures of the deployment.
    """
    sys.exit(asyncio.run(_run(folder, play, terms)))


async def _run(folder: Path, play: Callable, terms: Terms | None) -> int:
    deployment = None
    code, lines = 2, []
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        deployment = Deployment(terms)
        async with asyncio.timeout(TIME_LIMIT_S):
            lines = await play(deployment, has_trouble())
        code = 1 if lines else 0
    except (CannotRunError, TimeoutError) as error:
        lines = [f"could not run: {error!r}"]
    except asyncio.CancelledError:
        lines = ["could not run: ended by a signal"]
    except Exception:
        lines = [traceback.format_exc()]
    finally:
        if deployment is not None:
            logs = {vm.name: deployment.log_lines(vm) for vm in deployment.vms.values()}
            await deployment.close()
            summary = {"exit code": code, "trouble": has_trouble(), "lines": lines}
            deployment.record.write(folder / "record.txt", summary)
            if os.environ.get("KEEP_LOGS"):
                for name, log in logs.items():
                    Path(os.environ["KEEP_LOGS"], f"{name}.log").write_text("\n".join(log) + "\n")
    print(*(lines or ["the rule held"]), sep="\n")
    return code
