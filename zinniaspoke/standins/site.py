"""A whole deployment on loopback in one process: replicas, entry VMs and the fabric stand-in."""

import asyncio
import json
import os
import pathlib
import random
from collections.abc import Callable, Sequence

from zinniaspoke import geneve, secretfiles, settings
from zinniaspoke.adapters import logs, rpc
from zinniaspoke.daemons import control, entry
from zinniaspoke.proto import control_pb2
from zinniaspoke.standins import fabric, tap

REPLICA_COUNT = 3
ENTRY_COUNT = 6
ZONES = ("a", "b", "c", "d")
RPC_PORT = 7070
CONTROL_PORT = 6082
HTTP_PORT = 6083
START_LIMIT_S = 8.0
POLL_S = 0.02
_CONTROL_BLOCK, _FABRIC_BLOCK = 2, 3


class Site:
    """Starts and stops the processes of a deployment.

    Attributes:
        net: The fabric.
        entries: Entry VMs by name.
        controls: Control replicas.
        taps: Control bytes that each entry VM sent, counted at its socket.
    """

    def __init__(self, *, folder: str, services: Sequence[str], rng: random.Random) -> None:
        """Prepares a deployment; opens no socket.

        Args:
            folder: Folder for settings, secrets and data.
            services: Services that targets will announce.
            rng: Seeded random source.
        """
        self._folder = pathlib.Path(folder)
        self._rng = rng
        self._net_octet = 64 + os.getpid() % 128
        self.net = fabric.Fabric(rng=random.Random(rng.random()))
        self.entries: dict[str, entry.EntryDaemon] = {}
        self.controls: list[control.ControlDaemon] = []
        self.taps: dict[str, tap.Tap] = {}
        self._folder.mkdir(parents=True, exist_ok=True)
        self._secrets_folder = str(self._folder / "secrets")
        secretfiles.create(self._secrets_folder, services)

    def host(self, block: int, number: int) -> str:
        """Returns a loopback address that is this process's own.

        Args:
            block: Third byte; entry VMs take 1, replicas 2, the fabric 3.
            number: Last byte.
        """
        return f"127.{self._net_octet}.{block}.{number}"

    def announcement_token(self, service: str) -> str:
        """Returns the token with which targets of a service announce themselves.

        Args:
            service: The service.
        """
        return secretfiles.load(self._secrets_folder).announce_tokens[service]

    def _replicas(self) -> list[dict[str, object]]:
        return [
            {
                "name": f"control-{ZONES[index]}",
                "host": self.host(_CONTROL_BLOCK, 1 + index),
                "port": RPC_PORT,
            }
            for index in range(REPLICA_COUNT)
        ]

    def _endpoints(self) -> list[dict[str, object]]:
        return [{"host": r["host"], "port": r["port"]} for r in self._replicas()]

    def _write(self, name: str, body: dict[str, object]) -> str:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(body))
        return str(path)

    def _control_settings(self, index: int) -> settings.ControlSettings:
        name = f"control-{ZONES[index]}"
        body = {
            "name": name,
            "zone": f"zone-{ZONES[index]}",
            "replicas": self._replicas(),
            "data_folder": str(self._folder / name),
            "secrets_folder": self._secrets_folder,
        }
        return settings.load_control(self._write(name, body))

    def _entry_settings(self, number: int) -> settings.EntrySettings:
        first = number % REPLICA_COUNT
        endpoints = self._endpoints()
        fabric_host = self.host(_FABRIC_BLOCK, 1)
        body = {
            "name": f"entry-{number}",
            "zone": f"zone-{ZONES[number % len(ZONES)]}",
            "host": self.host(1, 1 + number),
            "data_port": geneve.PORT,
            "control_port": CONTROL_PORT,
            "http_port": HTTP_PORT,
            "fabric": {"host": fabric_host, "port": geneve.PORT},
            "fabric_hosts": [fabric_host],
            "seeds": [
                {"host": self.host(1, 1 + index), "port": CONTROL_PORT}
                for index in range(ENTRY_COUNT)
            ],
            "control_replicas": endpoints[first:] + endpoints[:first],
            "secrets_folder": self._secrets_folder,
        }
        return settings.load_entry(self._write(f"entry-{number}", body))

    async def start_fabric(self) -> None:
        """Opens the fabric's socket."""
        await self.net.start(self.host(_FABRIC_BLOCK, 1), geneve.PORT)

    async def start_control(self) -> None:
        """Starts the control replicas."""
        for index in range(REPLICA_COUNT):
            config = self._control_settings(index)
            daemon = control.ControlDaemon(
                config=config,
                output=logs.EliotLog(process=config.name),
                seed=self._rng.randrange(1 << 62),
            )
            await daemon.start()
            self.controls.append(daemon)

    async def start_entry(self, number: int) -> entry.EntryDaemon:
        """Starts an entry VM.

        Args:
            number: Its number; the first ``ENTRY_COUNT`` are seeds.

        Returns:
            The daemon.
        """
        config = self._entry_settings(number)
        daemon = entry.EntryDaemon(
            config=config,
            log=logs.EliotLog(process=config.name),
            seed=self._rng.randrange(1 << 62),
            is_strict=True,
        )
        await daemon.start()
        daemon.datagrams = self.taps[config.name] = tap.Tap(port=daemon.datagrams)
        self.entries[config.name] = daemon
        self.net.add(
            fabric.Route(host=config.host, data_port=config.data_port, http_port=config.http_port)
        )
        return daemon

    async def kill_entry(self, name: str) -> entry.EntryDaemon:
        """Ends an entry VM at once.

        Args:
            name: Its name.

        Returns:
            The daemon that was ended.
        """
        daemon = self.entries.pop(name)
        await daemon.stop()
        return daemon

    def client(self, role: str) -> rpc.ControlClient:
        """Returns a client of the replicas.

        Args:
            role: Whose token it carries.
        """
        endpoints = tuple(settings.Endpoint(**endpoint) for endpoint in self._endpoints())
        token = secretfiles.load_operator_token(self._secrets_folder, role)
        return rpc.ControlClient(replicas=endpoints, tls=None, token=token)

    async def submit(self, number: int, content: bytes) -> None:
        """Submits a rule file and waits until it is in force on every entry VM.

        Args:
            number: The file's number.
            content: Its bytes.

        Raises:
            RuntimeError: It was not accepted.
        """
        client = self.client("submit")
        reply = await client.submit(number, content)
        await client.close()
        if reply.outcome != control_pb2.SUBMIT_OUTCOME_YES:
            raise RuntimeError(f"rule file {number} was not accepted: {reply.reason}")
        await self.until(lambda: self.is_in_force(number))

    def is_in_force(self, number: int) -> bool:
        """Tells whether every entry VM has a rule file in force.

        Args:
            number: The file's number.
        """
        return all(daemon.core.book.number >= number for daemon in self.entries.values())

    @staticmethod
    async def until(condition: Callable[[], bool]) -> None:
        """Waits for a condition.

        Args:
            condition: What to wait for.

        Raises:
            TimeoutError: It did not come true in time.
        """
        async with asyncio.timeout(START_LIMIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Ends all processes."""
        for daemon in self.entries.values():
            await daemon.stop()
        for replica in self.controls:
            await replica.stop()
        await self.net.stop()
