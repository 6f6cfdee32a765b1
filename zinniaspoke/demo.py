"""The demonstration: a deployment on loopback in one process, changed and hurt while it runs."""

import asyncio
import collections
import json
import os
import pathlib
import random
import secrets
import sys
import tempfile
from collections.abc import Callable

import attrs
import tabulate

from zinniaspoke import geneve, rules, settings
from zinniaspoke.adapters import logs, rpc
from zinniaspoke.daemons import control as control_daemon
from zinniaspoke.daemons import entry as entry_daemon
from zinniaspoke.proto import control_pb2
from zinniaspoke.standins import announcer, caller, fabric, traffic

REPLICA_COUNT = 3
ENTRY_COUNT = 6
START_LIMIT_S = 8.0
SHORT_FLOWS_PER_S = 60
IDLE_FLOWS_PER_SERVICE = 6
LOAD_S = 16.0
FINISH_LIMIT_S = 5.0
SERVICE_PORT = 8443
ZONES = ("a", "b", "c", "d")
HOST_COUNTS = {"carne-api": 7, "extrato-svc": 4, "despacho": 7, "archivo-planos": 4}
KILL_STEP = "kill of an entry VM"


@attrs.frozen(kw_only=True)
class Result:
    """What the stand-ins counted.

    Attributes:
        opened: Flows opened.
        completed: Flows whose caller got every answer whole.
        broken_by_planned: Flows broken while only planned changes were made.
        broken_by_kill: Flows broken after the kill.
        refused: Openings refused.
        unfinished: Flows without an end.
        wrong_service: Packets that reached a target of another service.
        repeated: Requests that ran more than once.
        late_openings: Openings at a target that had been draining for seconds.
        imbalance: Largest over mean seconds of work run, over the targets that stood all the time.
        control_bytes_per_s: Control bytes a second by entry VM, as the VM counted them.
    """

    opened: int
    completed: int
    broken_by_planned: int
    broken_by_kill: int
    refused: int
    unfinished: int
    wrong_service: int
    repeated: int
    late_openings: int
    imbalance: float
    control_bytes_per_s: float

    @property
    def is_good(self) -> bool:
        """Whether nothing broke by a planned change, was refused or went astray."""
        faults = (
            self.broken_by_planned,
            self.refused,
            self.unfinished,
            self.wrong_service,
            self.repeated,
            self.late_openings,
        )
        return self.completed > 0 and not any(faults)


class Demo:
    """Runs the deployment and its changes."""

    def __init__(self, *, folder: str, seed: int, say: Callable[[str], None]) -> None:
        """Prepares the demo.

        Args:
            folder: Folder for data, secrets and logs.
            seed: Seed of all random choices that are the demo's own.
            say: Prints a line.
        """
        self._folder = pathlib.Path(folder)
        self._rng = random.Random(seed)
        self._seed = seed
        self._say = say
        self._net_octet = 64 + os.getpid() % 128
        self._tally = traffic.Traffic()
        self._net = fabric.Fabric(rng=self._child_rng())
        self._entries: dict[str, entry_daemon.EntryDaemon] = {}
        self._controls: list[control_daemon.ControlDaemon] = []
        self._targets: list[announcer.AnnouncingTarget] = []
        self._tokens = {name: secrets.token_hex(12) for name in HOST_COUNTS}
        self._rules = rules.EMPTY
        self._started_s = 0.0
        self._steady: set[str] = set()
        self._control_rates: list[float] = []
        self._load_started_s = 0.0

    def _child_rng(self) -> random.Random:
        return random.Random(self._rng.randrange(1 << 62))

    def _host(self, block: int, number: int) -> str:
        return f"127.{self._net_octet}.{block}.{number}"

    def _step(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._tally.step = text
        self._say(f"{now_s - self._started_s:5.1f} s  {text}")

    # Set-up

    def _write_secrets(self) -> None:
        folder = self._folder / "secrets"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "datagram.key").write_text(secrets.token_hex(16))
        for role in ("read", "submit", "drain", "replica"):
            (folder / f"operator-{role}.token").write_text(secrets.token_hex(12))
        for service, token in self._tokens.items():
            (folder / f"announce-{service}.token").write_text(token)

    def _replicas(self) -> list[dict[str, object]]:
        return [
            {"name": f"control-{ZONES[i]}", "host": self._host(2, 1 + i), "port": 7070}
            for i in range(REPLICA_COUNT)
        ]

    def _settings_file(self, name: str, body: dict[str, object]) -> str:
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
            "secrets_folder": str(self._folder / "secrets"),
        }
        return settings.load_control(self._settings_file(name, body))

    def _entry_settings(self, number: int) -> settings.EntrySettings:
        zone = ZONES[number % len(ZONES)]
        seeds = [{"host": self._host(1, 1 + i), "port": 6082} for i in range(ENTRY_COUNT)]
        replicas = [{"host": r["host"], "port": r["port"]} for r in self._replicas()]
        body = {
            "name": f"entry-{number}",
            "zone": f"zone-{zone}",
            "host": self._host(1, 1 + number),
            "data_port": geneve.PORT,
            "control_port": 6082,
            "http_port": 6083,
            "fabric": {"host": self._host(3, 1), "port": geneve.PORT},
            "fabric_hosts": [self._host(3, 1)],
            "seeds": seeds,
            "control_replicas": replicas[number % 3 :] + replicas[: number % 3],
            "secrets_folder": str(self._folder / "secrets"),
        }
        return settings.load_entry(self._settings_file(f"entry-{number}", body))

    async def _start_control(self) -> None:
        self._step(f"starting {REPLICA_COUNT} control replicas with data folders")
        for index in range(REPLICA_COUNT):
            config = self._control_settings(index)
            daemon = control_daemon.ControlDaemon(
                config=config,
                output=logs.EliotLog(process=config.name),
                seed=self._rng.randrange(1 << 62),
            )
            await daemon.start()
            self._controls.append(daemon)

    async def _start_entry(self, number: int) -> entry_daemon.EntryDaemon:
        config = self._entry_settings(number)
        daemon = entry_daemon.EntryDaemon(
            config=config,
            log=logs.EliotLog(process=config.name),
            seed=self._rng.randrange(1 << 62),
            is_strict=True,
        )
        await daemon.start()
        self._entries[config.name] = daemon
        self._net.add(
            fabric.Route(host=config.host, data_port=config.data_port, http_port=config.http_port)
        )
        return daemon

    def _new_target(
        self, service: str, address: str, incarnation: int
    ) -> announcer.AnnouncingTarget:
        return announcer.AnnouncingTarget(
            service=service,
            address=address,
            port=SERVICE_PORT,
            incarnation=incarnation,
            token=self._tokens[service],
            net=self._net,
            tally=self._tally,
            rng=self._child_rng(),
        )

    async def _start_targets(self) -> None:
        count = sum(HOST_COUNTS.values())
        self._step(f"starting {count} targets, which announce themselves")
        for block, (service, host_count) in enumerate(HOST_COUNTS.items()):
            for index in range(host_count):
                started = self._new_target(service, self._host(10 + block, 1 + index), 1)
                await started.start()
                self._targets.append(started)
                self._steady.add(started.host.name)

    def _rule_file(self, number: int) -> rules.RuleSet:
        lines = [
            f"10.20.0.{1 + index}:{SERVICE_PORT} tcp {service} # operator: demo"
            for index, service in enumerate(HOST_COUNTS)
        ]
        lines += [
            f"10.20.1.{1 + index}:{SERVICE_PORT} tcp {service} class=long # operator: downloads"
            for index, service in enumerate(HOST_COUNTS)
        ]
        if number > 1:
            lines.append(f"10.20.2.1:{SERVICE_PORT} tcp despacho # operator: Temuco asked")
        return rules.parse(number, "\n".join(lines).encode())

    async def _submit(self, number: int) -> None:
        file = self._rule_file(number)
        endpoints = tuple(
            settings.Endpoint(host=r["host"], port=r["port"]) for r in self._replicas()
        )
        token = (self._folder / "secrets" / "operator-submit.token").read_text()
        client = rpc.ControlClient(replicas=endpoints, tls=None, token=token)
        reply = await client.submit(number, file.content)
        await client.close()
        if reply.outcome != control_pb2.SUBMIT_OUTCOME_YES:
            raise RuntimeError(f"rule file {number} was not accepted: {reply.reason}")
        await self._until(self._is_in_force(number), START_LIMIT_S)
        self._rules = file
        self._say(f"         rule file {number}: yes, in force on {len(self._entries)} entry VMs")

    def _is_in_force(self, number: int) -> Callable[[], bool]:
        return lambda: all(d.core.book.number >= number for d in self._entries.values())

    @staticmethod
    async def _until(condition: Callable[[], bool], limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limit_s
        while not condition():
            if loop.time() > deadline_s:
                raise TimeoutError("the deployment did not come up in time")
            await asyncio.sleep(0.05)

    # Load

    def _open(self, address: str, **work: object) -> None:
        rule = next(r for r in self._rules.rules.values() if f"10.20.{address}" == _dotted(r))
        self._callers.open(rule=rule, **work)

    def _open_long(self) -> None:
        for index, host_count in enumerate(HOST_COUNTS.values()):
            for _ in range(host_count):
                work_s = self._rng.uniform(10.0, 14.0)
                self._open(
                    f"1.{1 + index}",
                    kind="long",
                    request_count=1,
                    work_s=work_s,
                    chunk_count=int(work_s / 0.1),
                )
            for _ in range(IDLE_FLOWS_PER_SERVICE):
                self._open(
                    f"0.{1 + index}",
                    kind="idle",
                    request_count=6,
                    work_s=0.02,
                    chunk_count=1,
                    pause_s=self._rng.uniform(2.0, 2.6),
                )

    async def _open_short_forever(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(SHORT_FLOWS_PER_S))
            service = self._rng.randrange(len(HOST_COUNTS))
            is_new = self._rules.number > 1 and self._rng.random() < 0.1
            self._open(
                "2.1" if is_new else f"0.{1 + service}",
                kind="short",
                request_count=1,
                work_s=min(0.5, self._rng.expovariate(1 / 0.03) + 0.001),
                chunk_count=1,
            )

    # Changes

    async def _change_things(self) -> None:
        await asyncio.sleep(2.0)
        drained = self._targets[0]
        self._step(f"planned: drain of target {drained.host.name}")
        await drained.drain()
        self._steady.discard(drained.host.name)
        await asyncio.sleep(1.0)
        replaced = self._targets[8]
        self._step(f"planned: replacement of target {replaced.host.name}")
        self._steady.discard(replaced.host.name)
        replacing = asyncio.create_task(self._replace(replaced))
        await asyncio.sleep(1.0)
        self._step("planned: stop of entry-1")
        stopping = asyncio.create_task(self._stop_entry("entry-1"))
        await asyncio.sleep(1.5)
        self._step("planned: start of entry-6, a new entry VM")
        await self._start_entry(ENTRY_COUNT)
        await asyncio.sleep(1.5)
        self._step("planned: second rule file")
        await self._submit(2)
        await stopping
        await asyncio.sleep(2.0)
        self._step(KILL_STEP + ": entry-3")
        self._tally.step = KILL_STEP
        await self._kill("entry-3")
        await replacing

    async def _replace(self, old: announcer.AnnouncingTarget) -> None:
        """Drains a target, waits for its flows, and starts a new process at its address."""
        await old.drain()
        await asyncio.sleep(1.0)
        while old.host.open_count:
            await asyncio.sleep(0.1)
        await old.stop()
        new = self._new_target(old.host.service, old.host.host, old.host.incarnation + 1)
        await new.start()
        self._targets[self._targets.index(old)] = new

    def _note_control_rate(self, daemon: entry_daemon.EntryDaemon) -> None:
        elapsed_s = daemon.now() - daemon.started_s
        self._control_rates.append(daemon.core.counts.control_bytes_sent / elapsed_s)

    async def _stop_entry(self, name: str) -> None:
        daemon = self._entries[name]
        await daemon.leave()
        self._say(f"         {name} has left")
        await self._kill(name)

    async def _kill(self, name: str) -> None:
        daemon = self._entries.pop(name)
        self._note_control_rate(daemon)
        await daemon.stop()

    # The whole run

    async def run(self) -> Result:
        """Runs the demo.

        Returns:
            What the stand-ins counted.
        """
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_secrets()
        try:
            return await self._run()
        finally:
            await self._stop_all()

    async def _run(self) -> Result:
        loop = asyncio.get_running_loop()
        await self._net.start(self._host(3, 1), geneve.PORT)
        self._callers = caller.Callers(
            loop=loop,
            transmit=self._net.send_from_caller,
            tally=self._tally,
            rng=self._child_rng(),
        )
        self._net.deliver = self._callers.receive
        await self._start_control()
        self._step(f"starting {ENTRY_COUNT} entry VMs in {len(ZONES)} availability zones")
        for number in range(ENTRY_COUNT):
            await self._start_entry(number)
        await self._submit(1)
        await self._until(lambda: self._net.ready_count == ENTRY_COUNT, START_LIMIT_S)
        await self._start_targets()
        await self._until(self._know_all_targets, START_LIMIT_S)
        self._step("opening flows: short, long, and idle between requests")
        load_ends_s = loop.time() + LOAD_S
        self._open_long()
        opening = asyncio.create_task(self._open_short_forever())
        changing = asyncio.create_task(self._change_things())
        await changing
        await asyncio.sleep(max(0.0, load_ends_s - loop.time()))
        opening.cancel()
        self._say(f"{loop.time() - self._started_s:5.1f} s  waiting for the last flows")
        deadline_s = loop.time() + FINISH_LIMIT_S
        while self._callers.open_count and loop.time() < deadline_s:
            await asyncio.sleep(0.05)
        return self._result()

    def _know_all_targets(self) -> bool:
        count = sum(HOST_COUNTS.values())
        return all(len(d.core.table.states) >= count for d in self._entries.values())

    def _result(self) -> Result:
        outcomes = list(self._tally.outcomes.values())
        broken = [o for o in outcomes if o.broken_during and not o.is_refused and not o.is_complete]
        by_kill = sum(o.broken_during == KILL_STEP for o in broken)
        for daemon in self._entries.values():
            self._note_control_rate(daemon)
        return Result(
            opened=len(outcomes),
            completed=sum(o.is_complete for o in outcomes),
            broken_by_planned=len(broken) - by_kill,
            broken_by_kill=by_kill,
            refused=sum(o.is_refused for o in outcomes),
            unfinished=sum(not o.is_complete and not o.broken_during for o in outcomes),
            wrong_service=self._tally.wrong_service_count,
            repeated=self._tally.repeated_count,
            late_openings=self._tally.late_openings,
            imbalance=self._imbalance(),
            control_bytes_per_s=max(self._control_rates),
        )

    def _imbalance(self) -> float:
        by_service = collections.defaultdict(list)
        for name in self._steady:
            by_service[name.partition("@")[0]].append(self._tally.placed_s.get(name, 0.0))
        ratios = [max(c) * len(c) / sum(c) for c in by_service.values() if sum(c)]
        return max(ratios, default=0.0)

    async def _stop_all(self) -> None:
        for daemon in self._entries.values():
            await daemon.stop()
        for started in self._targets:
            await started.stop()
        for replica in self._controls:
            await replica.stop()
        await self._net.stop()


def _dotted(rule: rules.Rule) -> str:
    return ".".join(str(byte) for byte in rule.address)


def format_result(result: Result) -> str:
    """Lays the result out as a table.

    Args:
        result: The result.

    Returns:
        The table's text.
    """
    rows = [
        ("flows opened", result.opened),
        ("flows completed", result.completed),
        ("broken by planned change", result.broken_by_planned),
        ("broken by the kill", result.broken_by_kill),
        ("openings refused", result.refused),
        ("flows without an end", result.unfinished),
        ("packets to a wrong service", result.wrong_service),
        ("requests run twice", result.repeated),
        ("openings on a drained target", result.late_openings),
        ("imbalance (max/mean work)", f"{result.imbalance:.2f}"),
        ("control bytes/s, busiest entry VM", f"{result.control_bytes_per_s:.0f}"),
    ]
    return tabulate.tabulate(rows, headers=("counted at the stand-ins", ""), tablefmt="simple")


def run(seed: int) -> Result:
    """Runs the demo in a temporary folder and prints as it goes.

    Args:
        seed: Seed of the demo's random choices.

    Returns:
        The result.
    """

    def say(text: str) -> None:
        print(text, flush=True)

    with tempfile.TemporaryDirectory(prefix="zinniaspoke-demo-") as folder:
        logs.open_destination(os.path.join(folder, "events.log"))
        demo = Demo(folder=folder, seed=seed, say=say)
        result = asyncio.run(demo.run())
    print(format_result(result), file=sys.stdout, flush=True)
    return result
