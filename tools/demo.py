"""Demonstration: a fleet under load loses a VM, a paused VM, its store and a drained VM."""

import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from auburnsail._load_report import RequestRecord
from standins.ledger import now_ns

from .demo_fleet import DemoFleet, FleetError, Vm
from .demo_table import Events, elapsed_s, evaluate, is_broken, is_missed, render
from .processes import Processes

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_STARTED = 2
EXIT_MISSED = 3

RATE_PER_S = 600
KEYS = 2000
ZIPF = 0.5
DEADLINE_MS = 1000
MIX = (
    "GET /catalogue/{key} 6",
    "POST /catalogue/{key} 2",
    "POST /catalogue/{key}/slow/300 0.05",
    "POST /pledge/{id} 2",
    "POST /pledge/{id}/slow/400 0.05",
)
START_ATTEMPTS = 2
LOAD_S = 41
# Seconds from the start of the load.
KILL_AT_S = 3
FREEZE_AT_S = 7
RESUME_AT_S = 10
STORE_DOWN_AT_S = 12
STORE_UP_AT_S = 32
DRAIN_AT_S = 34
LEAVE_LIMIT_S = 6
STOP_LIMIT_S = 4
PROGRESS_EVERY_S = 2
STEP_S = 0.1
KILLED = "wien-1-catalogue"
FROZEN = "tirol-2-catalogue"
DRAINED = "steiermark-2-catalogue"


class Demo:
    """One run of the demonstration.

    Args:
        processes: Starts and ends processes.
        folder: Receives all files of the run.
    """

    def __init__(self, processes: Processes, folder: Path) -> None:
        self._processes = processes
        self._fleet = DemoFleet(processes, folder)
        self._log = folder / "load.log"
        self._offset = 0
        self._outcomes: Counter[str] = Counter()
        self._start_ns = 0
        self._shown_s = 0.0
        self.events = Events()

    def start(self) -> None:
        """Starts the fleet.

        Raises:
            FleetError: It did not start.
        """
        began_ns = now_ns()
        self._fleet.start()
        print(f"{len(self._fleet.vms)} VMs serve after {elapsed_s(began_ns):.1f} s", flush=True)

    def run(self) -> int:
        """Runs the demonstration and prints its table.

        Returns:
            The exit code.
        """
        began_ns = now_ns()
        self._start_load()
        self._kill_at(KILL_AT_S)
        self._freeze_at(FREEZE_AT_S)
        self._take_store_away_at(STORE_DOWN_AT_S)
        self._drain_at(DRAIN_AT_S)
        while self._processes.is_running("load"):
            self._step()
        counters = self._fleet.counters()
        self._collect_violations()
        rows = evaluate(self.events, self._records(), self._fleet.ledgers(), counters)
        print("\n" + render(rows))
        print(f"\n{elapsed_s(began_ns):.1f} s from the start of the load")
        if is_broken(rows):
            return EXIT_BROKEN
        return EXIT_MISSED if is_missed(rows) else EXIT_HELD

    def _start_load(self) -> None:
        arguments = [vm.data for vm in self._fleet.vms]
        for kind in MIX:
            arguments += ["--request", kind]
        arguments += ["--rate", str(RATE_PER_S), "--duration", str(LOAD_S), "--keys", str(KEYS)]
        arguments += [
            "--zipf",
            str(ZIPF),
            "--deadline-ms",
            str(DEADLINE_MS),
            "--hot-change-s",
            "10",
        ]
        arguments += ["--log", str(self._log)]
        self._processes.start("load", "auburnsail._cli_load", *arguments)
        while not self._log.exists():
            time.sleep(STEP_S)
        self._start_ns = now_ns()

    def _kill_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(KILLED)
        self.events.killed, self.events.killed_ns = vm.name, now_ns()
        self._signal(vm, signal.SIGKILL)
        self._fleet.killed.add(vm.name)
        self._say(f"killed {vm.name}, node and upstream")

    def _freeze_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(FROZEN)
        self.events.frozen, self.events.frozen_ns = vm.name, now_ns()
        self._signal(vm, signal.SIGSTOP)
        self._fleet.killed.add(vm.name)
        self._say(f"froze {vm.name}, node and upstream")
        self._wait_until(RESUME_AT_S)
        self._signal(vm, signal.SIGCONT)
        self.events.resumed_ns = now_ns()
        self._fleet.killed.discard(vm.name)
        self._say(f"resumed {vm.name}")

    def _take_store_away_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        self._fleet.set_store_faults(down=True)
        self.events.store_down_ns = now_ns()
        self._say("took the store away")
        self._wait_until(STORE_UP_AT_S)
        self._fleet.set_store_faults()
        self.events.store_up_ns = now_ns()
        self._say("brought the store back")

    def _drain_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(DRAINED)
        self.events.drained, self.events.drained_node = vm.name, vm.data
        self.events.drained_ns = now_ns()
        self._fleet.drain(vm)
        self._say(f"{vm.name} announces that it leaves")
        while elapsed_s(self.events.drained_ns) < LEAVE_LIMIT_S:
            if self._has_left(vm):
                self.events.left_after_s = elapsed_s(self.events.drained_ns)
                self._say(f"{vm.name} owns nothing and has no session")
                break
            self._step()
        self._processes.send_signal(vm.node_process, signal.SIGTERM)
        self.events.stop_status = self._processes.wait(vm.node_process, STOP_LIMIT_S)
        self._fleet.killed.add(vm.name)
        self._say(f"node of {vm.name} ended with exit code {self.events.stop_status}")

    def _has_left(self, vm: Vm) -> bool:
        statuses = self._fleet.statuses()
        others = [status for name, status in statuses.items() if name != vm.name]
        return bool(others) and not any(
            session.startswith(f"{vm.name}#") for status in others for session in status["sessions"]
        )

    def _signal(self, vm: Vm, number: signal.Signals) -> None:
        for name in (vm.node_process, vm.upstream_process):
            self._processes.send_signal(name, number)

    def _collect_violations(self) -> None:
        for name, status in self._fleet.statuses().items():
            if status["violation"]:
                self.events.violations.append(f"{name}: {status['violation']}")

    def _records(self) -> list[RequestRecord]:
        decoder = msgspec.json.Decoder(RequestRecord)
        return [decoder.decode(line) for line in self._log.read_bytes().splitlines()]

    # Progress.

    def _wait_until(self, at_s: float) -> None:
        while elapsed_s(self._start_ns) < at_s:
            self._step()

    def _step(self) -> None:
        time.sleep(STEP_S)
        if elapsed_s(self._start_ns) - self._shown_s >= PROGRESS_EVERY_S:
            self._shown_s = elapsed_s(self._start_ns)
            self._say(self._progress())

    def _progress(self) -> str:
        self._outcomes.clear()
        with self._log.open("rb") as log:
            log.seek(self._offset)
            data = log.read()
        end = data.rfind(b"\n") + 1
        self._offset += end
        decoder = msgspec.json.Decoder(RequestRecord)
        self._outcomes.update(decoder.decode(line).outcome for line in data[:end].splitlines())
        total = self._outcomes.total()
        ok = self._outcomes.pop("ok", 0)
        others = ", ".join(f"{name} {count}" for name, count in self._outcomes.most_common(4))
        return f"  {self._fleet.sessions()} sessions, {ok} of {total} requests ok  {others}"

    def _say(self, text: str) -> None:
        print(f"{elapsed_s(self._start_ns):5.1f} s  {text}", flush=True)


@click.command()
@click.option("--keep", type=click.Path(path_type=Path), help="Folder that keeps all files.")
def main(keep: Path | None) -> None:
    """Runs the demonstration.

    Exit code 0: every guarantee held; 1: one broke or was not measured; 2: the fleet did not start;
    3: a target was missed.
    """
    # A terminated demonstration ends its processes like one that fails.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_STARTED))
    with tempfile.TemporaryDirectory(prefix="auburnsail-demo-") as name:
        for attempt in range(START_ATTEMPTS):
            folder = (keep or Path(name)) / str(attempt)
            folder.mkdir(parents=True)
            with Processes(folder) as processes:
                demo = Demo(processes, folder)
                try:
                    demo.start()
                except FleetError as error:
                    click.echo(f"demo: {error}", err=True)
                    continue
                sys.exit(demo.run())
    sys.exit(EXIT_NOT_STARTED)


if __name__ == "__main__":
    main()
