"""One run: processes, traffic and faults."""

import asyncio
import collections
import pathlib
import random
import shutil
import signal
import tempfile
from collections.abc import Awaitable, Callable, Iterable

import attrs

from soak import mutations, net, operators, processes, promises, schedule, targets, traffic

REQUESTS_PER_S = 12.0
# Work that is measured as a disturbance of the soak's own making: its event loop was late, or a
# process waited for a processor.
LATE_S = 0.3
STARVED_S = 0.5
WATCH_S = 0.1
# Processes hold 26 MB under this traffic.
MEMORY_LIMIT_MB = 64.0
# Waits count only the time in which all were in touch, up to a limit.
START_LIMIT_S = 15.0
WAIT_LIMIT_S = 180.0
CALM_S = 2.0
FINAL_S = 3.0
# Long enough after all were killed that they are in touch and the bound is over.
EVACUATED_S = 7.0
RESTART_S = 0.3


@attrs.frozen(kw_only=True)
class Result:
    """What a run showed.

    Attributes:
        seed: Its seed.
        faults: Its schedule.
        findings: Broken promises.
        counts: What was judged.
        outcomes: Requests by outcome.
        late_s: Time for which the soak's own loop was late.
        starved_s: Time for which processes waited for a processor beyond what is usual.
        memory_mb: Largest resident memory of a process.
        folder: Logs, if they were kept.
    """

    seed: int
    faults: list[schedule.Fault]
    findings: list[promises.Finding]
    counts: dict[str, int]
    outcomes: dict[str, int]
    late_s: float
    starved_s: float
    memory_mb: float
    folder: str


class Run:
    """Plays a schedule against real processes."""

    def __init__(
        self,
        *,
        seed: int,
        faults: list[schedule.Fault],
        seconds: float,
        mutation: str = "",
        stops_at: tuple[str, ...] = (),
        tell: Callable[[str], None] = lambda line: None,
    ) -> None:
        """Prepares a run that ends early at some findings; starts nothing."""
        self._seed = seed
        self._faults = faults
        self._seconds = seconds
        self._mutation = mutation
        self._stops_at = stops_at
        self._tell = tell
        self._rng = random.Random(f"run/{seed}")
        self._addresses = processes.Addresses()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        names = (*schedule.CONTROLS, *schedule.ENTRIES)
        self._net = net.Net(
            zone_of={self._addresses.vm(name): schedule.ZONES[name] for name in names}
        )
        self._judge = promises.Judge(bounds=processes.BOUNDS)
        self._vms = {
            name: processes.Vm(
                name=name,
                host=self._addresses.vm(name),
                folder=self._folder / name,
                addresses=self._addresses,
                seed=seed,
                mutation=mutation,
            )
            for name in names
        }
        self._build_traffic()
        self._jobs: set[asyncio.Task] = set()
        self._late_s = self._starved_s = self._memory_mb = 0.0
        self._starved_at_s = 0.0
        self._waits: dict[str, tuple[float, float]] = {}

    def _build_traffic(self) -> None:
        pools = collections.defaultdict(list)
        for name in schedule.ENTRIES:
            pools[schedule.ZONES[name]].append(name)
        self._fabric = traffic.Fabric(paths=self._net, addresses=self._addresses, pools=pools)
        shared = {"paths": self._net, "addresses": self._addresses, "judge": self._judge}
        self._operators = operators.Operators(**shared, rng=self._rng)
        self._callers = traffic.Callers(
            **shared,
            rng=self._rng,
            fabric=self._fabric,
            has_target=self._has_target,
            is_alive=lambda host, by_s: self._targets.is_alive(host, by_s),
        )
        if self._mutation and mutations.MUTATIONS[self._mutation].role == "soak":
            self._callers.mutation = self._mutation
        self._targets = targets.Targets(
            **shared,
            rng=self._rng,
            flow_of=self._callers.flows.get,
            lifetime_of=lambda name: f"{name}/{self._vms[name].start_count}",
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _has_target(self, port: int) -> bool:
        service = self._operators.service_of(port)
        since_s = self._now() - processes.BOUNDS["contact_window_ms"] / 1000
        avoided = self._operators.evacuated_since(since_s)
        return service is not None and self._targets.has_ready(service, since_s, avoided)

    def _spawn(self, job: Awaitable[None]) -> None:
        task = asyncio.ensure_future(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    # Disturbances

    def _disturb(self, vm: processes.Vm, is_planned: bool = False) -> list[promises.Span]:
        names = (vm.name, "core") if vm.is_control else (vm.name,)
        return [self._judge.touch.begin(name, self._now(), is_planned) for name in names]

    def _calm(self, spans: Iterable[promises.Span]) -> None:
        for span in spans:
            span.end_s = self._now()

    async def _watch(self) -> None:
        """Measures the soak's own delay, and each process's."""
        touch, waited = self._judge.touch, {}
        while True:
            before_s = self._now()
            await asyncio.sleep(WATCH_S)
            now_s = self._now()
            late_s = now_s - before_s - WATCH_S
            if late_s > LATE_S:
                self._late_s += late_s
                self._starved_at_s = now_s
                touch.hit("all", now_s, late_s + WATCH_S)
            for vm in self._vms.values():
                if not vm.is_running:
                    if vm.process is not None and not vm.is_stopping:
                        self._judge.ended(vm.name, vm.process.returncode, now_s)
                        self._spawn(self._restart(vm))
                    continue
                key = (vm.name, vm.start_count)
                total_s = vm.waited_s()
                # Summed over a second.
                history = waited.setdefault(key, collections.deque(maxlen=10))
                history.append(total_s)
                if total_s - history[0] > STARVED_S:
                    self._starved_s += total_s - history[-2]
                    self._starved_at_s = now_s
                    for name in (vm.name, "core") if vm.is_control else (vm.name,):
                        touch.hit(name, now_s, 1.0)
                used_mb = vm.memory_mb()
                self._memory_mb = max(self._memory_mb, used_mb)
                self._judge.memory(vm.name, used_mb, MEMORY_LIMIT_MB, now_s)

    async def _is_late(self, what: str, limit_s: float, step_s: float = WATCH_S) -> bool:
        """Waits a moment; whether a wait has taken longer than its limit in calm time.

        Calm is what the measured disturbances leave; a run whose machine never is calm is counted
        as not judged.
        """
        since_s, calm_s = self._waits.get(what, (self._now(), 0.0))
        await asyncio.sleep(step_s)
        now_s = self._now()
        is_starved = now_s - self._starved_at_s < CALM_S
        calm_s += 0.0 if is_starved else step_s
        self._waits[what] = since_s, calm_s
        if now_s - since_s > WAIT_LIMIT_S:
            self._judge.counts[f"{what} not judged"] += 1
            return True
        if calm_s > limit_s:
            self._judge.too_late(what, now_s)
            return True
        return False

    # Faults of processes

    async def _restart(self, vm: processes.Vm, is_planned: bool = False) -> None:
        vm.is_stopping = True
        spans = self._disturb(vm, is_planned)
        await asyncio.sleep(RESTART_S)
        vm.start()
        vm.is_stopping = False
        # A start lasts until the VM answers; the end of the run checks that all do.
        number = vm.start_count
        while vm.is_running and vm.start_count == number and not await self._answers(vm):
            await asyncio.sleep(WATCH_S)
        self._calm(spans)

    async def _answers(self, vm: processes.Vm) -> bool:
        if not vm.is_control:
            return vm.name in self._fabric.ready
        endpoint = (vm.host, processes.CALL_PORT)
        return await self._net.call(vm.host, endpoint, "GET", "/") is not None

    async def _play_kill(self, place: str, _length_s: float) -> None:
        vm = self._vms[place]
        if not vm.is_stopping and vm.is_running:
            vm.is_stopping = True
            vm.signal(signal.SIGKILL)
            await asyncio.to_thread(vm.process.wait)
            await self._restart(vm)

    async def _play_term(self, place: str, _length_s: float) -> None:
        vm = self._vms[place]
        if vm.is_stopping or not vm.is_running:
            return
        vm.is_stopping = True
        spans = self._disturb(vm, is_planned=True)
        vm.signal(signal.SIGTERM)
        until_s = self._now() + processes.BOUNDS["grace_period_s"]
        while vm.is_running:
            if self._now() > until_s:
                self._judge.slow_stop(vm.name, self._now())
                vm.signal(signal.SIGKILL)
                until_s = promises.FOREVER
            await asyncio.sleep(0.05)
        restart = asyncio.ensure_future(self._restart(vm, is_planned=True))
        await asyncio.sleep(0)
        self._calm(spans)
        await restart

    async def _play_freeze(self, place: str, length_s: float) -> None:
        vm = self._vms[place]
        spans = self._disturb(vm)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        vm.signal(signal.SIGCONT)
        self._calm(spans)

    async def _play_settings(self, place: str, _length_s: float) -> None:
        vm = self._vms[place]
        vm.write_settings(self._rng)
        while not vm.takes_hangups():
            await asyncio.sleep(0.01)
        vm.signal(signal.SIGHUP)

    async def _play_roll(self, place: str, _length_s: float) -> None:
        for name in schedule.ENTRIES if place == "entries" else schedule.CONTROLS:
            await self._play_term(name, 0)
            await asyncio.sleep(1.0)

    async def _play_kill_core(self, _place: str, _length_s: float) -> None:
        await asyncio.gather(*(self._play_kill(name, 0) for name in schedule.CONTROLS))

    async def _play_kill_all(self, _place: str, _length_s: float) -> None:
        await asyncio.gather(*(self._play_kill(name, 0) for name in self._vms))

    # Faults of links and disks

    async def _cut(self, pairs: list[tuple[str, str]], names: list[str], length_s: float) -> None:
        spans = [span for name in names for span in self._disturb(self._vms[name])]
        cuts = [self._net.cut(*pair) for pair in pairs]
        await asyncio.sleep(length_s)
        for cut in cuts:
            self._net.heal(cut)
        self._calm(spans)

    async def _play_cut(self, place: str, length_s: float) -> None:
        host = self._vms[place].host
        await self._cut([(host, "*"), ("*", host)], [place], length_s)

    async def _play_part(self, place: str, length_s: float) -> None:
        host = self._vms[place].host
        await self._cut([(host, net.VMS), (net.VMS, host)], [place], length_s)

    async def _play_one_way(self, place: str, length_s: float) -> None:
        host = self._vms[place].host
        pair = (host, "*") if self._rng.random() < 0.5 else ("*", host)
        await self._cut([pair], [place], length_s)

    async def _play_cut_zone(self, place: str, length_s: float) -> None:
        spans = [self._judge.touch.begin("targets", self._now())]
        names = [name for name in self._vms if schedule.ZONES[name] == place]
        # Targets of the zone are out of reach for every entry VM of another zone.
        await self._cut([(place, "*"), ("*", place)], [*names, "c1"], length_s)
        self._calm(spans)

    async def _play_delay(self, place: str, length_s: float) -> None:
        vm = self._vms[place]
        spans = self._disturb(vm)
        self._net.delay(vm.host, self._rng.uniform(0.02, 0.4))
        await asyncio.sleep(length_s)
        self._net.delay(vm.host, 0.0)
        self._calm(spans)

    async def _play_silence(self, _place: str, _length_s: float) -> None:
        self._judge.touch.hit("all", self._now())
        self._net.silence()

    async def _play_reset(self, place: str, _length_s: float) -> None:
        self._calm(self._disturb(self._vms[place]))
        self._net.reset(self._vms[place].host)

    async def _disk(self, place: str, length_s: float, **order: float) -> None:
        vm = self._vms[place]
        spans = self._disturb(vm)
        vm.order_disk(**order)
        await asyncio.sleep(length_s)
        vm.order_disk()
        self._calm(spans)

    async def _play_disk_slow(self, place: str, length_s: float) -> None:
        await self._disk(place, length_s, slow_s=self._rng.uniform(0.05, 1.0))

    async def _play_disk_full(self, place: str, length_s: float) -> None:
        await self._disk(place, length_s, full=1)

    # Faults of targets, and evacuations

    async def _play_leave(self, place: str, _length_s: float) -> None:
        slot, target = int(place), self._targets.slots[int(place)]
        if target.state == "ready":
            await target.leave()
            await asyncio.sleep(RESTART_S)
            self._targets.start(slot, target.service)

    async def _end_target(self, slot: int) -> targets.Target | None:
        target = self._targets.slots[slot]
        if target.state != "ready":
            return None
        self._judge.touch.hit("targets", self._now())
        target.stop()
        return target

    async def _play_crash(self, place: str, _length_s: float) -> None:
        target = await self._end_target(int(place))
        if target is not None:
            await asyncio.sleep(processes.BOUNDS["reuse_delay_s"] + self._rng.uniform(0, 3))
            self._targets.start(int(place), target.service)

    async def _play_restart(self, place: str, _length_s: float) -> None:
        target = await self._end_target(int(place))
        if target is not None:
            await asyncio.sleep(RESTART_S)
            self._targets.start(int(place), target.service, target.identity)

    async def _play_reuse(self, place: str, _length_s: float) -> None:
        """The addresses of two targets of different services change hands."""
        slots = int(place), (int(place) + 4) % 8
        ended = [await self._end_target(slot) for slot in slots]
        await asyncio.sleep(processes.BOUNDS["reuse_delay_s"] + 0.1)
        swap = ended[::-1] if all(ended) else ended
        for slot, target in zip(slots, swap, strict=True):
            if target is not None:
                self._targets.start(slot, target.service)

    async def _play_evacuate(self, place: str, length_s: float) -> None:
        await self._operators.evacuate(place, length_s)

    # The run

    async def _start(self) -> None:
        for name in self._vms:
            if name in schedule.CONTROLS:
                await self._net.proxy(self._vms[name].host, processes.PEER_PORT)
        spans = []
        for vm in self._vms.values():
            spans += self._disturb(vm)
            vm.start()
        self._callers.open()
        for slot in range(8):
            self._targets.start(slot, operators.SERVICES[slot // 4], is_cold=False)
        for name in schedule.ENTRIES:
            self._spawn(self._fabric.check_forever(name))
        self._spawn(self._watch())
        self._spawn(self._operators.change_forever())
        for name in self._vms:
            while not self._vms[name].is_control and name not in self._fabric.ready:
                if await self._is_late("start", START_LIMIT_S):
                    break
        self._calm(spans)
        self._spawn(self._operators.read_forever())
        self._spawn(self._callers.run_forever(REQUESTS_PER_S, self._operators.ports))

    async def _play(self, fault: schedule.Fault, started_s: float) -> None:
        await asyncio.sleep(max(0.0, started_s + fault.at_s - self._now()))
        self._tell(f"  {fault.at_s:6.1f} s {fault.kind} {fault.place} {fault.length_s or ''}")
        await getattr(self, f"_play_{fault.kind}")(fault.place, fault.length_s)

    async def _play_all(self) -> None:
        started_s = self._now()
        played = [asyncio.ensure_future(self._play(f, started_s)) for f in self._faults]
        await asyncio.sleep(self._seconds)
        await asyncio.gather(*played)

    async def _final(self) -> None:
        """Everything is killed right after an acknowledgement; all has to be there again."""
        self._operators.is_quiet = True
        is_evacuated = await self._operators.evacuate(self._rng.choice("ab"), None)
        await self._operators.change()
        await self._play_kill_all("all", 0)
        recovery_s, left = processes.BOUNDS["recovery_s"], set(self._vms)
        while left and not await self._is_late("return", recovery_s):
            for name in sorted(left):
                is_read = name in schedule.ENTRIES or await self._operators.read(name) is not None
                if is_read and await self._answers(self._vms[name]):
                    left.discard(name)
        is_served = False
        while not is_served:
            before = len(self._callers.outcomes)
            if await self._is_late("recovery", recovery_s, FINAL_S):
                return
            late = [outcome for _, outcome in self._callers.outcomes[before:]]
            is_served = late.count("served") * 4 > len(late)
        if is_evacuated:
            await asyncio.sleep(EVACUATED_S)

    async def _play_whole(self) -> None:
        await self._start()
        await self._play_all()
        await self._final()

    async def _main(self) -> None:
        started_s, is_found = self._now(), asyncio.Event()

        def take(finding: promises.Finding) -> None:
            at_s = finding.at_s - started_s
            self._tell(f"  FINDING {at_s:.1f} s {finding.promise}: {finding.detail}")
            if finding.promise in self._stops_at:
                is_found.set()

        self._judge.tell = take
        # A fault of the soak itself must not end unseen.
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: self._judge.soak_failed(str(context), self._now())
        )
        try:
            played = asyncio.ensure_future(self._play_whole())
            found = asyncio.ensure_future(is_found.wait())
            await asyncio.wait((played, found), return_when=asyncio.FIRST_COMPLETED)
            for task in (played, found):
                task.cancel()
            await played
        except asyncio.CancelledError:
            if not is_found.is_set():
                raise
        finally:
            for job in self._jobs:
                job.cancel()
            self._callers.close()
            for target in self._targets.slots.values():
                target.stop()
            for vm in self._vms.values():
                vm.end()
            self._net.close()

    def play(self) -> Result:
        """Plays the run; keeps logs only of one that found something."""
        asyncio.run(self._main())
        outcomes = collections.Counter(outcome for _, outcome in self._callers.outcomes)
        findings = self._judge.findings
        if not findings:
            shutil.rmtree(self._folder)
        return Result(
            seed=self._seed,
            faults=self._faults,
            findings=findings,
            counts=dict(self._judge.counts),
            outcomes=dict(outcomes),
            late_s=self._late_s,
            starved_s=self._starved_s,
            memory_mb=self._memory_mb,
            folder=str(self._folder) if findings else "",
        )


def fails(result: Result, promise_names: Iterable[str]) -> bool:
    """Whether a run has broken one of some promises."""
    return any(finding.promise in promise_names for finding in result.findings)
