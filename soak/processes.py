"""The product's processes: settings files, start and signals."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys

import attrs

from soak import schedule

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALL_PORT, READY_PORT, PACKET_PORT, PEER_PORT = 8166, 8167, 8172, 7720
ROUTE_HOST = "198.18.0.1"
HEARTBEAT_S = 0.8
# Requests a second that a target bears after its start, and for how long; 0 judges no limit.
COLD_PER_S, COLD_START_S = 1.0, 5.0
# Bounds as a deployment would have them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_timeout_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_lifetime_s": 60,
}
if COLD_PER_S:
    BOUNDS |= {"cold_overage": 1.5, "cold_slack": 1}


class Addresses:
    """Loopback addresses of one run, apart from those of other runs on this machine."""

    def __init__(self) -> None:
        """Takes the block of this process."""
        self._block = 64 + os.getpid() % 128

    def vm(self, name: str) -> str:
        """Returns a VM's address."""
        return f"127.{self._block}.{'ce'.index(name[0]) + 1}.{name[1:]}"

    def target(self, number: int) -> str:
        """Returns a target's address."""
        return f"127.{self._block}.3.{number + 1}"

    def callers(self, zone: str) -> str:
        """Returns the address of a zone's callers."""
        return f"127.{self._block}.4.{ord(zone) - 96}"

    @property
    def operator(self) -> str:
        """The operator's address, and the fabric's."""
        return f"127.{self._block}.5.1"


@attrs.define(kw_only=True, eq=False)
class Vm:
    """One VM with one process.

    Attributes:
        name: Its name in schedules.
        host: Its address.
        folder: Where its files are.
        process: Its process, or None.
        start_count: How often it was started.
        is_stopping: Whether somebody has asked it to end or is starting it again.
    """

    name: str
    host: str
    folder: pathlib.Path
    addresses: Addresses
    seed: int
    mutation: str = ""
    process: subprocess.Popen | None = None
    start_count: int = 0
    is_stopping: bool = False

    @property
    def is_control(self) -> bool:
        """Whether it is a control VM."""
        return self.name in schedule.CONTROLS

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self, rng: random.Random) -> None:
        """Writes the settings file, with the seeds in a new order."""
        seeds = [f"{self.addresses.vm(name)}:{CALL_PORT}" for name in schedule.CONTROLS]
        rng.shuffle(seeds)
        listen = (
            {"control_plane": f"{self.host}:{CALL_PORT}"}
            if self.is_control
            else {
                "datagram_address": f"{self.host}:{PACKET_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
            }
        )
        body = {
            "node_name": self.name,
            "role": "control" if self.is_control else "entry",
            "ip": self.host,
            "zone": schedule.ZONES[self.name],
            "zones": dict.fromkeys(sorted(set(schedule.ZONES.values())), "soak"),
            "listen": listen,
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "seed_nodes": seeds,
            "bootstrap": self.start_count == 0,
            "limits": {"link_bandwidth_mbps": 100.0},
            "data_directory": str(self.folder / "data") if self.is_control else None,
            "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash": "mod",
            "forwarding_mode": "echo",
        }
        draft = self.folder / "settings.draft"
        draft.write_text(json.dumps(body))
        draft.rename(self.folder / "settings.json")

    def order_disk(self, **order: float) -> None:
        """Tells the storage shim how to misbehave; nothing ends it."""
        draft = self.folder / "disk.draft"
        draft.write_text(json.dumps(order))
        draft.rename(self.folder / "disk.json")

    def start(self) -> None:
        """Starts the process."""
        self.folder.mkdir(parents=True, exist_ok=True)
        rng = random.Random(f"{self.seed}/{self.name}/{self.start_count}")
        self.write_settings(rng)
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "ZINNIASPOKE_BOOT": str(self.folder / "settings.json"),
            "SOAK_HOST": self.host,
            "SOAK_PEER_PORT": str(PEER_PORT),
            "SOAK_DISK": str(self.folder / "disk.json"),
            "SOAK_TORN": rng.choice("01"),
            "SOAK_SEED": f"{self.seed}/{self.name}/{self.start_count}",
            "SOAK_CLOCK_S": str(round(rng.uniform(0.0, 1e5), 3)),
            "SOAK_MUTATION": self.mutation,
        }
        role = "control" if self.is_control else "entry"
        with open(self.folder / f"log.{self.start_count}", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.launcher", role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.start_count += 1

    def signal(self, number: signal.Signals) -> None:
        """Signals the process that this VM started."""
        if self.is_running:
            self.process.send_signal(number)

    def takes_hangups(self) -> bool:
        """Whether the process has come to its first line, before which no program can act."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return True
        masks = dict(line.split(":\t") for line in text.splitlines() if line.startswith("Sig"))
        taken = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(taken & 1 << (signal.SIGHUP - 1))

    def end(self) -> None:
        """Ends the process at the end of a run."""
        if self.is_running:
            self.process.kill()
            self.process.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def waited_s(self) -> float:
        """Returns for how long the process was kept waiting for a processor, since its start."""
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) / 1e9
