"""Fleet of the demonstration on loopback.

It has the regions, the failure domains and two services of the deployment Ampelkorb.
"""

import http.client
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from standins.ledger import Execution, read_ledger
from standins.link_model import Conditions

from .processes import FLEET_SECRET, Processes, free_addresses

REGIONS = ("steiermark", "wien", "tirol")
DOMAINS_PER_REGION = 2
STORE_REGION = "steiermark"
# Few shards, so that each gets enough requests to show when it is served again.
SHARDS = 30
TREE = {"services": {"catalogue": {"keyed": True, "shards": SHARDS}, "pledge": {}}}
SLOTS = 12
CONNECTIONS = 100
MEAN_SERVICE_MS = 5
CONFIGURED_PEERS = 4
START_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1


class FleetError(Exception):
    """The fleet of the demonstration did not start."""


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM with an upstream and its node.

    Attributes:
        name: Name of the node and of its upstream.
        region: Region of the VM.
        domain: Failure domain of the VM.
        service: Service of the upstream.
        data_address: Data address of the node, to which callers send requests.
        control_address: Control address of the node.
        upstream_address: Address of the upstream.
    """

    name: str
    region: str
    domain: str
    service: str
    data_address: str
    control_address: str
    upstream_address: str

    @property
    def node_process(self) -> str:
        """Name of the node's process."""
        return f"{self.name}-node"

    @property
    def upstream_process(self) -> str:
        """Name of the upstream's process."""
        return f"{self.name}-upstream"


def fetch_json(address: str, method: str, target: str, content: object = None) -> object:
    """Sends an HTTP request, with a JSON body if there is content; returns the decoded answer.

    Raises:
        OSError: There was no valid answer, or its status was not 200.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        body = None if content is None else msgspec.json.encode(content)
        connection.request(method, target, body)
        answer = connection.getresponse()
        data = answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"{address}{target}: {error!r}") from error
    finally:
        connection.close()
    if answer.status != 200:
        raise OSError(f"{address}{target}: status {answer.status}")
    return msgspec.json.decode(data)


class DemoFleet:
    """Platform stand-in, nodes and upstreams of the demonstration.

    Args:
        processes: Starts the processes.
        folder: Directory for settings files and ledgers.
        links: Conditions of the links between regions, by `link_name`; without any, nodes of
            different regions reach each other directly.

    Attributes:
        vms: All VMs.
        unavailable: Names of the VMs that are not asked: killed, paused or drained ones.
    """

    def __init__(
        self, processes: Processes, folder: Path, links: dict[str, Conditions] | None = None
    ) -> None:
        self._processes = processes
        self._folder = folder
        self._platform_address, self._link_admin_address = free_addresses(2)
        self.vms = _plan_vms()
        self._relay_addresses: dict[tuple[str, str], str] = {}
        self._link_conditions = links or {}
        self.unavailable: set[str] = set()

    @property
    def store_url(self) -> str:
        """Base URL of the table store and of the object store."""
        return f"http://{self._platform_address}"

    def vm(self, name: str) -> Vm:
        """Returns the VM with the given name."""
        return next(vm for vm in self.vms if vm.name == name)

    def start(self) -> None:
        """Starts all processes and waits until all nodes may serve and all shards have owners.

        Raises:
            FleetError: This took too long, the settings were refused, or some nodes own no shards.
        """
        self._processes.start("platform", "standins.platform", "--listen", self._platform_address)
        self._wait_for(
            "the platform", lambda: fetch_json(self._platform_address, "GET", "/admin/faults")
        )
        if self._link_conditions:
            self._start_links()
        tree = self._processes.write_settings("tree", TREE)
        arguments = ("settings", "init", "--store", self.store_url, tree)
        self._processes.start("settings", "auburnsail._cli_operator", *arguments)
        if self._processes.wait("settings", START_TIMEOUT_S) != 0:
            raise FleetError("`settings init` did not accept the settings tree in time")
        for vm in self.vms:
            self._start_vm(vm)
        self._wait_for("a lease and an owner for every shard", self._is_ready)
        # Shards are first assigned one second after the last join. On a busy machine the joins can
        # be further apart, and then the first nodes get all shards.
        owner_count = sum(status["shards"] > 0 for status in self.statuses().values())
        expected_owners = sum(vm.service == "catalogue" for vm in self.vms)
        if owner_count < expected_owners:
            raise FleetError(f"{owner_count} of {expected_owners} nodes got all shards")

    def session_count(self) -> int:
        """Returns the highest number of sessions that a node knows; 0 if none answers."""
        return max((len(status["sessions"]) for status in self.statuses().values()), default=0)

    def statuses(self) -> dict[str, dict]:
        """Returns the status of each node that answers, by VM name."""
        answers = {}
        for vm in self.vms:
            if vm.name not in self.unavailable:
                try:
                    answers[vm.name] = fetch_json(vm.control_address, "GET", "/v1/status")
                except OSError:
                    continue
        return answers

    def upstream_counters(self) -> dict[str, dict]:
        """Returns the counters of each upstream that answers, by VM name."""
        answers = {}
        for vm in self.vms:
            if vm.name not in self.unavailable:
                try:
                    answers[vm.name] = fetch_json(vm.upstream_address, "GET", "/admin/counters")
                except OSError:
                    continue
        return answers

    def set_store_faults(self, **faults) -> None:
        """Sets the faults that the platform stand-in injects; no arguments clear all faults."""
        fetch_json(self._platform_address, "POST", "/admin/faults", faults)

    def drain(self, vm: Vm) -> None:
        """Makes an upstream announce its drain."""
        fetch_json(vm.upstream_address, "POST", "/admin/drain")

    def executions(self) -> list[Execution]:
        """Returns the executions in the ledgers of all upstreams."""
        return [execution for vm in self.vms for execution in read_ledger(self._ledger_path(vm))]

    def change_link(self, name: str, conditions: Conditions) -> None:
        """Changes the conditions of a link in both directions."""
        change = {"link": name, "conditions": conditions}
        fetch_json(self._link_admin_address, "POST", "/admin/links", change)

    def link_traffic(self) -> dict:
        """Returns the conditions and the traffic of each link by direction, by link name."""
        return fetch_json(self._link_admin_address, "GET", "/admin/links")

    def _start_links(self) -> None:
        """Starts one relay port per region and per address of a node in another region."""
        pairs = [
            (region, address, link_name(region, vm.region))
            for vm in self.vms
            for address in (vm.data_address, vm.control_address)
            for region in REGIONS
            if region != vm.region
        ]
        relays = []
        for (region, address, link), listen in zip(pairs, free_addresses(len(pairs)), strict=True):
            self._relay_addresses[region, address] = listen
            relays.append({"listen": listen, "target": address, "link": link})
        settings = self._processes.write_settings(
            "links", {"relays": relays, "links": self._link_conditions}
        )
        self._processes.start(
            "links", "standins.link", settings, "--admin", self._link_admin_address
        )
        self._wait_for("the links", self.link_traffic)

    def _start_vm(self, vm: Vm) -> None:
        content = {
            "node": vm.name,
            "region": vm.region,
            "domain": vm.domain,
            "data_address": vm.data_address,
            "control_address": vm.control_address,
            "store_url": self.store_url,
            "objects_url": self.store_url,
            "store_region": STORE_REGION,
            "fleet_secret": FLEET_SECRET,
            "address_overrides": {
                address: relay
                for (region, address), relay in self._relay_addresses.items()
                if region == vm.region
            },
            "peers": [
                peer.control_address for peer in self.vms[:CONFIGURED_PEERS] if peer is not vm
            ],
        }
        settings = self._processes.write_settings(vm.name, content)
        self._processes.start(vm.node_process, "auburnsail._cli_node", settings)
        arguments = ["--name", vm.name, "--service", vm.service, "--listen", vm.upstream_address]
        arguments += ["--node", vm.control_address, "--slots", str(SLOTS)]
        arguments += ["--connections", str(CONNECTIONS), "--service-ms", str(MEAN_SERVICE_MS)]
        arguments += ["--spread", "exponential", "--ledger", str(self._ledger_path(vm))]
        if vm.service == "catalogue":
            arguments += ["--grants", "required", "--stop-at-expiry"]
        self._processes.start(vm.upstream_process, "standins.upstream", *arguments)

    def _ledger_path(self, vm: Vm) -> Path:
        return self._folder / f"{vm.name}.ledger"

    def _is_ready(self) -> bool:
        statuses = self.statuses()
        owned_shards = sum(status["shards"] for status in statuses.values())
        serving_nodes = sum(status["may_serve"] for status in statuses.values())
        return len(statuses) == serving_nodes == len(self.vms) and owned_shards == SHARDS

    def _wait_for(self, event: str, condition) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"{event} not available within {START_TIMEOUT_S:.0f} s; statuses: {self.statuses()}"
        )


def link_name(region: str, other_region: str) -> str:
    """Returns the name of the link between two regions, in either order."""
    return "-".join(sorted((region, other_region)))


def _plan_vms() -> list[Vm]:
    places = [
        (region, f"{region}-{number + 1}", service)
        for service in TREE["services"]
        for number in range(DOMAINS_PER_REGION)
        for region in REGIONS
    ]
    addresses = iter(free_addresses(3 * len(places)))
    return [
        Vm(
            f"{domain}-{service}",
            region,
            domain,
            service,
            next(addresses),
            next(addresses),
            next(addresses),
        )
        for region, domain, service in places
    ]
