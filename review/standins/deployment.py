"""The project's programs as separate processes on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the site file vasc-carne, as the page of the whole system has them.
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
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_lifetime_s": 60,
}
HEARTBEAT_S = 1.2
# The routes' address; nobody sends there, it stands in packets only.
ROUTE_HOST = "127.9.0.1"
ROLES = {"c": ("control", "core"), "e": ("entry", "frontend")}
# Exit codes of a case; run.sh turns them into 0, 1 and 2. An interpreter that fails exits with 1.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


class CaseError(Exception):
    """The case could not be run to its end."""


class Deployment:
    """Control VMs ``c1`` ... and entry VMs ``e1`` ..., each a process with a settings file.

    Attributes:
        has_trouble: Whether the disruption is played.
        call_port: Port of the control plane.
        packet_port: UDP port of entry VMs and callers.
        ready_port: Port of the readiness check.
    """

    def __init__(self, *, controls: int, entries: int, own_peer_ports: bool = False) -> None:
        """Takes addresses, ports and a temporary folder; starts nothing.

        Args:
            controls: Number of control VMs.
            entries: Number of entry VMs.
            own_peer_ports: Whether each VM has an internal port of its own, so that a proxy can
                stand between any two of them.
        """
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._started_s = time.monotonic()
        self._block = 64 + os.getpid() % 128
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(pathlib.Path(sys.argv[0]).parent / "record.txt", "w")  # noqa: SIM115
        self.controls = [f"c{n + 1}" for n in range(controls)]
        self.entries = [f"e{n + 1}" for n in range(entries)]
        self._processes: dict[str, subprocess.Popen] = {}
        self._starts: dict[str, int] = {}
        ports = self._free_ports(4 + controls + entries)
        self.call_port, self.ready_port, self.packet_port, peer_port, *more = ports
        self.peer_ports = {
            name: more[index] if own_peer_ports else peer_port
            for index, name in enumerate((*self.controls, *self.entries))
        }
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def _free_ports(self, count: int) -> list[int]:
        """Returns ports of five digits that nobody uses on this machine."""
        found: list[int] = []
        while len(found) < count:
            port = random.randrange(12000, 30000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
        return found

    def host(self, name: str) -> str:
        """Returns a VM's address.

        Args:
            name: The VM.
        """
        return f"127.{self._block}.{'ce'.index(name[0]) + 1}.{name[1:]}"

    def other_host(self, net: int, number: int) -> str:
        """Returns an address of a stand-in.

        Args:
            net: Third byte, 3 or more.
            number: Last byte.
        """
        return f"127.{self._block}.{net}.{number}"

    def note(self, text: str) -> None:
        """Writes a line into ``record.txt``.

        Args:
            text: What was sent, answered, run or done.
        """
        line = f"{time.monotonic() - self._started_s:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()

    def _write_settings(self, name: str) -> pathlib.Path:
        kind, machine_class = ROLES[name[0]]
        host, zone = self.host(name), "abcdef"[int(name[1:]) - 1]
        listen = (
            {"control_plane": f"{host}:{self.call_port}"}
            if kind == "control"
            else {
                "datagram_address": f"{host}:{self.packet_port}",
                "ready": f"{host}:{self.ready_port}",
            }
        )
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        port = self.peer_ports[name]
        body = {
            "node_name": name,
            "role": kind,
            "machine_class": machine_class,
            "serves": ["control_plane" if kind == "control" else "frontend"],
            "ip": host,
            "zone": f"zone-{zone}",
            "region": "region",
            "zones": {f"zone-{letter}": "region" for letter in "abcd"},
            "listen": listen,
            "internal_port_range": [port, port + 15],
            "seed_nodes": [f"{self.host(c)}:{self.call_port}" for c in self.controls[:3]],
            "bootstrap": name not in self._starts,
            "loss_counts": kind == "control",
            "limits": {
                "cpu_share": 0.645,
                "cpu_cores": 2,
                "memory_mb": 296,
                "max_fds": 4096,
                "link_bandwidth_mbps": 1000.0,
                "disk_mb": 128 if kind == "control" else 0,
            },
            "data_directory": str(folder / "data") if kind == "control" else None,
            "discovery": "registry",
            "entry_kind": "announcement",
            "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash": "mod",
            "forwarding_mode": "echo",
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(body))
        return path

    def start(self, name: str) -> None:
        """Starts a VM's process with the command of the deploy file.

        Args:
            name: The VM.
        """
        path = self._write_settings(name)
        self._starts[name] = self._starts.get(name, 0) + 1
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(self._folder / name / f"log.{self._starts[name]}", "wb") as log:
            self._processes[name] = subprocess.Popen(
                self._roles[ROLES[name[0]][0]]["run"].split(),
                cwd=ROOT,
                env={
                    **keep,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "ZINNIASPOKE_BOOT": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.note(f"{name} started at {self.host(name)}")

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a VM's process.

        Args:
            name: The VM.
            number: The signal.
        """
        self._processes[name].send_signal(number)
        self.note(f"{name} got {number.name}")

    def kill(self, name: str) -> None:
        """Kills a VM's process and waits for its end.

        Args:
            name: The VM.
        """
        self.send(name, signal.SIGKILL)
        self._processes[name].wait()

    def ended(self) -> list[str]:
        """Returns the VMs whose process has ended."""
        return [name for name, process in self._processes.items() if process.poll() is not None]

    def log_tail(self, name: str, count: int = 5) -> list[str]:
        """Returns the last lines that a VM's process wrote.

        Args:
            name: The VM.
            count: How many.
        """
        path = self._folder / name / f"log.{self._starts[name]}"
        return path.read_text(errors="replace").splitlines()[-count:]

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            self.note(f"files are kept in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)
        self._record.close()

    # Calls over HTTP

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        port: int = 0,
        limit_s: float = 1.0,
    ) -> tuple[int, bytes] | None:
        """Calls a VM.

        Args:
            name: The VM.
            method: The method.
            path: The path.
            body: A JSON body.
            port: The port; that of the control plane where it is 0.
            limit_s: How long to wait.

        Returns:
            Status and body, or None without a clear answer.
        """
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    self.host(name), port or self.call_port
                )
                head = f"{method} {path} HTTP/1.1\r\nHost: {self.host(name)}\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(answer.partition("content-length:")[2].split()[0])
                return int(answer.split()[1]), await reader.readexactly(length)
        except (OSError, EOFError, TimeoutError, ValueError, IndexError):
            return None
        finally:
            if writer is not None:
                writer.transport.abort()

    async def put(self, name: str, body: dict, limit_s: float = 1.0) -> int:
        """Sends a manifest once.

        Args:
            name: The control VM that is called.
            body: The manifest.
            limit_s: How long to wait.

        Returns:
            The status; 0 without a clear answer.
        """
        data = json.dumps(body).encode()
        answer = await self.call(name, "PUT", "/api/config", data, limit_s=limit_s)
        status = answer[0] if answer else 0
        self.note(f"PUT version {body['version']} at {name}: {status or 'no answer'}")
        return status

    async def read(self, name: str) -> int:
        """Reads the manifest in force.

        Args:
            name: The control VM that is called.

        Returns:
            Its version; 0 without a clear answer.
        """
        answer = await self.call(name, "GET", "/api/config")
        version = json.loads(answer[1])["version"] if answer and answer[0] == 200 else 0
        said = f"version {version}" if version else str(answer[0] if answer else "no answer")
        self.note(f"GET at {name}: {said}")
        return version


async def wait_for(
    what: str, condition: Callable[[], object], limit_s: float, poll_s: float = 0.002
) -> None:
    """Waits until a condition holds.

    Args:
        what: For the message if it does not.
        condition: The condition; may return an awaitable.
        limit_s: For how long.
        poll_s: How often to look.

    Raises:
        CaseError: It did not hold in time.
    """
    until_s = time.monotonic() + limit_s
    while True:
        found = condition()
        if isinstance(found, Awaitable):
            found = await found
        if found:
            return
        if time.monotonic() > until_s:
            raise CaseError(f"not in {limit_s} s: {what}")
        await asyncio.sleep(poll_s)


def manifest(version: int, routes: dict[int, tuple[str, str]], services: tuple[str, ...]) -> dict:
    """Returns a manifest.

    Args:
        version: Its version.
        routes: Kind and service of each route, by port.
        services: The services.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "hostname": ROUTE_HOST,
                "path_prefix": f"/{port}/",
                "route_type": kind,
                "timeout_ms": 3000,
                "target_latency_ms": 200,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for port, (kind, service) in sorted(routes.items())
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_flows": 2000, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def play(
    build: Callable[[], Deployment],
    case: Callable[[Deployment], Awaitable[bool]],
    limit_s: float = 110.0,
) -> None:
    """Plays a case and ends this process with its exit code.

    Args:
        build: Returns the deployment.
        case: Plays it; returns whether the rule held.
        limit_s: How long it may take.
    """
    deployment = build()
    # A case that is asked to end ends its processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    try:
        code = asyncio.run(_play(deployment, case, limit_s))
    finally:
        deployment.close()
    sys.exit(code)


async def _play(
    deployment: Deployment, case: Callable[[Deployment], Awaitable[bool]], limit_s: float
) -> int:
    try:
        async with asyncio.timeout(limit_s):
            is_held = await case(deployment)
    except (CaseError, TimeoutError) as error:
        deployment.note(f"could not run: {error or 'time is over'}")
        return COULD_NOT_RUN
    deployment.note("the rule held" if is_held else "THE RULE WAS BROKEN")
    return HELD if is_held else BROKEN
