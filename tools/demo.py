"""Demonstration: under load, a VM is killed, a VM is paused, the store fails and a VM drains."""

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
from .demo_table import Events, elapsed_s, evaluate, has_broken_guarantee, has_missed_target, render
from .processes import Processes

EXIT_OK = 0
EXIT_GUARANTEE_BROKEN = 1
EXIT_START_FAILED = 2
EXIT_TARGET_MISSED = 3

RATE_PER_S = 600
KEYS = 2000
ZIPF_EXPONENT = 0.5
DEADLINE_MS = 1000
REQUEST_MIX = (
    "GET /catalogue/{key} 6",
    "POST /catalogue/{key} 2",
    "POST /catalogue/{key}/slow/300 0.05",
    "POST /pledge/{id} 2",
    "POST /pledge/{id}/slow/400 0.05",
)
START_ATTEMPTS = 2
LOAD_S = 41
# Times of the events in seconds after the start of the load.
KILL_AT_S = 3
FREEZE_AT_S = 7
RESUME_AT_S = 10
STORE_DOWN_AT_S = 12
STORE_UP_AT_S = 32
DRAIN_AT_S = 34

LEAVE_TIMEOUT_S = 6
STOP_TIMEOUT_S = 4
PROGRESS_INTERVAL_S = 2
POLL_INTERVAL_S = 0.1
KILLED_VM = "wien-1-catalogue"
FROZEN_VM = "tirol-2-catalogue"
DRAINED_VM = "steiermark-2-catalogue"


class Demo:
    """One run of the demonstration.

    Args:
        processes: Starts and ends the processes.
        folder: Directory for all files of the run.

    Attributes:
        events: Faults that were injected so far and their results.
    """

    def __init__(self, processes: Processes, folder: Path) -> None:
        self._processes = processes
        self._fleet = DemoFleet(processes, folder)
        self._load_log = folder / "load.log"
        self._log_offset = 0
        self._outcomes: Counter[str] = Counter()
        self._load_start_ns = 0
        self._last_progress_s = 0.0
        self.events = Events()

    def start(self) -> None:
        """Starts the fleet.

        Raises:
            FleetError: The fleet was not ready in time.
        """
        start_ns = now_ns()
        self._fleet.start()
        print(f"{len(self._fleet.vms)} VMs ready after {elapsed_s(start_ns):.1f} s", flush=True)

    def run(self) -> int:
        """Injects the faults under load and prints the table of results.

        Returns:
            The exit code.
        """
        start_ns = now_ns()
        self._start_load()
        self._kill_at(KILL_AT_S)
        self._freeze_at(FREEZE_AT_S)
        self._interrupt_store_at(STORE_DOWN_AT_S)
        self._drain_at(DRAIN_AT_S)
        while self._processes.is_running("load"):
            self._wait_and_report()
        upstream_counters = self._fleet.upstream_counters()
        self._collect_violations()
        rows = evaluate(self.events, self._records(), self._fleet.executions(), upstream_counters)
        print("\n" + render(rows))
        print(f"\n{elapsed_s(start_ns):.1f} s from the start of the load")
        if has_broken_guarantee(rows):
            return EXIT_GUARANTEE_BROKEN
        return EXIT_TARGET_MISSED if has_missed_target(rows) else EXIT_OK

    def _start_load(self) -> None:
        arguments = [vm.data_address for vm in self._fleet.vms]
        for request in REQUEST_MIX:
            arguments += ["--request", request]
        arguments += ["--rate", str(RATE_PER_S), "--duration", str(LOAD_S), "--keys", str(KEYS)]
        arguments += [
            "--zipf",
            str(ZIPF_EXPONENT),
            "--deadline-ms",
            str(DEADLINE_MS),
            "--hot-change-s",
            "10",
        ]
        arguments += ["--log", str(self._load_log)]
        self._processes.start("load", "auburnsail._cli_load", *arguments)
        while not self._load_log.exists():
            time.sleep(POLL_INTERVAL_S)
        self._load_start_ns = now_ns()

    def _kill_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(KILLED_VM)
        self.events.killed, self.events.killed_ns = vm.name, now_ns()
        self._send_signal(vm, signal.SIGKILL)
        self._fleet.unavailable.add(vm.name)
        self._print(f"killed {vm.name}, node and upstream")

    def _freeze_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(FROZEN_VM)
        self.events.frozen, self.events.frozen_ns = vm.name, now_ns()
        self._send_signal(vm, signal.SIGSTOP)
        self._fleet.unavailable.add(vm.name)
        self._print(f"froze {vm.name}, node and upstream")
        self._wait_until(RESUME_AT_S)
        self._send_signal(vm, signal.SIGCONT)
        self.events.resumed_ns = now_ns()
        self._fleet.unavailable.discard(vm.name)
        self._print(f"resumed {vm.name}")

    def _interrupt_store_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        self._fleet.set_store_faults(down=True)
        self.events.store_down_ns = now_ns()
        self._print("store made unavailable")
        self._wait_until(STORE_UP_AT_S)
        self._fleet.set_store_faults()
        self.events.store_up_ns = now_ns()
        self._print("store made available again")

    def _drain_at(self, at_s: float) -> None:
        self._wait_until(at_s)
        vm = self._fleet.vm(DRAINED_VM)
        self.events.drained, self.events.drained_data_address = vm.name, vm.data_address
        self.events.drained_ns = now_ns()
        self._fleet.drain(vm)
        self._print(f"{vm.name} announces its drain")
        while elapsed_s(self.events.drained_ns) < LEAVE_TIMEOUT_S:
            if self._has_left(vm):
                self.events.session_ended_after_s = elapsed_s(self.events.drained_ns)
                self._print(f"session of {vm.name} has ended")
                break
            self._wait_and_report()
        self._processes.send_signal(vm.node_process, signal.SIGTERM)
        self.events.exit_code = self._processes.wait(vm.node_process, STOP_TIMEOUT_S)
        self._fleet.unavailable.add(vm.name)
        self._print(f"node of {vm.name} ended with exit code {self.events.exit_code}")

    def _has_left(self, vm: Vm) -> bool:
        statuses = self._fleet.statuses()
        others = [status for name, status in statuses.items() if name != vm.name]
        return bool(others) and not any(
            session.startswith(f"{vm.name}#") for status in others for session in status["sessions"]
        )

    def _send_signal(self, vm: Vm, signal_number: signal.Signals) -> None:
        for name in (vm.node_process, vm.upstream_process):
            self._processes.send_signal(name, signal_number)

    def _collect_violations(self) -> None:
        for name, status in self._fleet.statuses().items():
            if status["violation"]:
                self.events.violations.append(f"{name}: {status['violation']}")

    def _records(self) -> list[RequestRecord]:
        decoder = msgspec.json.Decoder(RequestRecord)
        return [decoder.decode(line) for line in self._load_log.read_bytes().splitlines()]

    def _wait_until(self, at_s: float) -> None:
        while elapsed_s(self._load_start_ns) < at_s:
            self._wait_and_report()

    def _wait_and_report(self) -> None:
        time.sleep(POLL_INTERVAL_S)
        if elapsed_s(self._load_start_ns) - self._last_progress_s >= PROGRESS_INTERVAL_S:
            self._last_progress_s = elapsed_s(self._load_start_ns)
            self._print(self._progress())

    def _progress(self) -> str:
        self._outcomes.clear()
        with self._load_log.open("rb") as log:
            log.seek(self._log_offset)
            data = log.read()
        end = data.rfind(b"\n") + 1
        self._log_offset += end
        decoder = msgspec.json.Decoder(RequestRecord)
        self._outcomes.update(decoder.decode(line).outcome for line in data[:end].splitlines())
        total = self._outcomes.total()
        ok = self._outcomes.pop("ok", 0)
        others = ", ".join(f"{name} {count}" for name, count in self._outcomes.most_common(4))
        return f"  {self._fleet.session_count()} sessions, {ok} of {total} requests ok  {others}"

    def _print(self, text: str) -> None:
        print(f"{elapsed_s(self._load_start_ns):5.1f} s  {text}", flush=True)


@click.command()
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Directory in which all files of the run are kept.",
)
def main(keep: Path | None) -> None:
    """Runs the demonstration.

    Exit code 0: every guarantee held; 1: a guarantee was broken or not measured; 2: the fleet did
    not start; 3: a target was missed.
    """
    # Exits by an exception on SIGTERM, so that `Processes` kills the processes of the fleet.
    signal.signal(signal.SIGTERM, lambda signal_number, frame: sys.exit(EXIT_START_FAILED))
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
    sys.exit(EXIT_START_FAILED)


if __name__ == "__main__":
    main()
