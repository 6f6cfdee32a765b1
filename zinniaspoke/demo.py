"""The demonstration: a deployment on loopback in one process, changed and hurt while it runs."""

import asyncio
import collections
import os
import random
import tempfile
from collections.abc import Callable

import attrs
import tabulate

from zinniaspoke import rules
from zinniaspoke.adapters import logs
from zinniaspoke.daemons import entry
from zinniaspoke.standins import announcer, caller, site, traffic

SHORT_FLOWS_PER_S = 60
IDLE_FLOWS_PER_SERVICE = 6
LOAD_S = 16.0
FINISH_LIMIT_S = 5.0
SERVICE_PORT = 8443
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
        control_bytes_per_s: Control bytes a second of the busiest entry VM, at its socket.
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
            folder: Folder for data, secrets and settings.
            seed: Seed of all random choices that are the demo's own.
            say: Prints a line.
        """
        self._rng = random.Random(seed)
        self._say = say
        self._tally = traffic.Traffic()
        self._site = site.Site(folder=folder, services=list(HOST_COUNTS), rng=self._child_rng())
        self._targets: list[announcer.AnnouncingTarget] = []
        self._rules = rules.EMPTY
        self._started_s = 0.0
        self._steady: set[str] = set()
        self._control_rates: list[float] = []

    def _child_rng(self) -> random.Random:
        return random.Random(self._rng.randrange(1 << 62))

    def _step(self, text: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._tally.step = text
        self._say(f"{now_s - self._started_s:5.1f} s  {text}")

    # Set-up

    def _new_target(
        self, service: str, address: str, incarnation: int
    ) -> announcer.AnnouncingTarget:
        return announcer.AnnouncingTarget(
            service=service,
            address=address,
            port=SERVICE_PORT,
            incarnation=incarnation,
            token=self._site.announcement_token(service),
            net=self._site.net,
            tally=self._tally,
            rng=self._child_rng(),
        )

    async def _start_targets(self) -> None:
        count = sum(HOST_COUNTS.values())
        self._step(f"starting {count} targets, which announce themselves")
        for block, (service, host_count) in enumerate(HOST_COUNTS.items()):
            for index in range(host_count):
                started = self._new_target(service, self._site.host(10 + block, 1 + index), 1)
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
        await self._site.submit(number, file.content)
        self._rules = file
        count = len(self._site.entries)
        self._say(f"         rule file {number}: yes, in force on {count} entry VMs")

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
        await self._site.start_entry(site.ENTRY_COUNT)
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

    def _note_control_rate(self, daemon: entry.EntryDaemon) -> None:
        elapsed_s = daemon.now() - daemon.started_s
        self._control_rates.append(self._site.taps[daemon.config.name].sent_bytes / elapsed_s)

    async def _stop_entry(self, name: str) -> None:
        await self._site.entries[name].leave()
        self._say(f"         {name} has left")
        await self._kill(name)

    async def _kill(self, name: str) -> None:
        self._note_control_rate(self._site.entries[name])
        await self._site.kill_entry(name)

    # The whole run

    async def run(self) -> Result:
        """Runs the demo.

        Returns:
            What the stand-ins counted.
        """
        self._started_s = asyncio.get_running_loop().time()
        try:
            return await self._run()
        finally:
            await self._stop_all()

    async def _run(self) -> Result:
        loop = asyncio.get_running_loop()
        await self._site.start_fabric()
        self._callers = caller.Callers(
            loop=loop,
            transmit=self._site.net.send_from_caller,
            tally=self._tally,
            rng=self._child_rng(),
        )
        self._site.net.deliver = self._callers.receive
        self._step(f"starting {site.REPLICA_COUNT} control replicas with data folders")
        await self._site.start_control()
        zone_count = len(site.ZONES)
        self._step(f"starting {site.ENTRY_COUNT} entry VMs in {zone_count} availability zones")
        for number in range(site.ENTRY_COUNT):
            await self._site.start_entry(number)
        await self._submit(1)
        await self._site.until(lambda: self._site.net.ready_count == site.ENTRY_COUNT)
        await self._start_targets()
        await self._site.until(self._know_all_targets)
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
        return all(len(d.core.table.states) >= count for d in self._site.entries.values())

    def _result(self) -> Result:
        outcomes = list(self._tally.outcomes.values())
        broken = [o for o in outcomes if o.broken_during and not o.is_refused and not o.is_complete]
        by_kill = sum(o.broken_during == KILL_STEP for o in broken)
        for daemon in self._site.entries.values():
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
        for started in self._targets:
            await started.stop()
        await self._site.stop()


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
    print(format_result(result), flush=True)
    return result
