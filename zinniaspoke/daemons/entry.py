"""The entry VM's daemon: settings, adapters, core, loop."""

import asyncio
import random
import time

import aiohttp

from zinniaspoke import (
    actions,
    announcements,
    entry,
    errors,
    events,
    location,
    membership,
    ports,
    secretfiles,
    settings,
    status,
    targets,
)
from zinniaspoke.adapters import http, metrics, rpc, udp

TICK_S = 0.05
RULES_POLL_S = 0.5


class EntryDaemon:
    """Runs the core of one entry VM on sockets."""

    def __init__(
        self,
        *,
        config: settings.EntrySettings,
        log: ports.LogPort,
        seed: int | None = None,
        is_strict: bool = False,
    ) -> None:
        """Prepares the daemon; opens no socket.

        Args:
            config: The settings.
            log: Where events go.
            seed: Seed of the random source; None for a fresh one.
            is_strict: Whether a broken promise raises.
        """
        self.config = config
        self._log = log
        self._secrets = secretfiles.load(config.secrets_folder)
        self._rng = random.Random(seed)
        self._is_strict = is_strict
        self._tasks: list[asyncio.Task[None]] = []
        self._fetching: asyncio.Task[None] | None = None
        self._packets: ports.DatagramPort | None = None
        self.datagrams: ports.DatagramPort | None = None
        self._left = asyncio.Event()
        self._is_stopped = False

    @staticmethod
    def now() -> float:
        """Reads the loop's monotonic clock, in seconds."""
        return asyncio.get_running_loop().time()

    def _core_config(self) -> entry.Config:
        config = self.config
        own = membership.Member(
            name=config.name,
            zone=config.zone,
            host=config.host,
            data_port=config.data_port,
            control_port=config.control_port,
            http_port=config.http_port,
            incarnation=time.time_ns() // 1_000_000,
        )
        return entry.Config(
            own=own,
            seeds=tuple(s.pair for s in config.seeds if s.pair != own.control_endpoint),
            fabric=config.fabric.pair,
            fabric_hosts=frozenset(config.fabric_hosts),
            keys=self._secrets.datagram_keys,
            flow_limit=config.limits.flow_count,
            witness_limit=config.limits.witness_count,
            policy=config.placement_policy,
            is_strict=self._is_strict,
            wall_offset_s=time.time() - self.now(),
        )

    async def start(self) -> None:
        """Opens the sockets and starts to serve.

        Raises:
            errors.Error: A socket cannot be opened.
        """
        config = self.config
        self.started_s = self.now()
        self.core = location.create(
            config.flow_location,
            settings.PACKET_FEATURES,
            config=self._core_config(),
            rng=self._rng,
            now_s=self.now(),
        )
        self._metrics = metrics.Metrics(counts=self.core.counts, gauges=self._gauges())
        self._packets = await udp.open_socket(config.host, config.data_port, self._on_packet)
        self.datagrams = await udp.open_socket(config.host, config.control_port, self._on_datagram)
        self._session = aiohttp.ClientSession()
        self._control = rpc.ControlClient(
            replicas=config.control_replicas,
            tls=config.tls,
            token=self._secrets.operator_tokens.get("read", ""),
        )
        self._http = http.HttpServer(
            handlers=self._handlers(),
            tokens=announcements.Tokens(by_service=self._secrets.announce_tokens),
            operator_tokens=self._secrets.operator_tokens,
            keys=self._secrets.datagram_keys,
            log=self._log,
            now=self.now,
        )
        await self._http.start(config.host, config.http_port)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick_forever()),
            loop.create_task(self._poll_rules_forever()),
        ]
        self._log.write(events.PROCESS_STARTED, "start", config.name, config.host)

    def _gauges(self) -> dict:
        core = self.core
        return {
            "zinniaspoke_flows": lambda: len(core.records),
            "zinniaspoke_witnesses": lambda: len(core.witnesses),
            "zinniaspoke_placements": lambda: len(core.placer),
            "zinniaspoke_openings_waiting": lambda: core.placer.waiting_count,
            "zinniaspoke_rule_number": lambda: core.book.number,
            "zinniaspoke_entry_vms_reachable": lambda: len(core.members.reachable_ids),
        }

    def _handlers(self) -> http.Handlers:
        core = self.core
        return http.Handlers(
            announce=self._on_announcement,
            services=lambda: core.book.current.services(),
            is_ready=self._is_ready,
            rules=lambda: (core.book.number, core.book.current.content),
            status=self._status,
            levels=lambda: core.recorder.minutes(),
            explain=self._explain,
            hold=self._hold,
            metrics=lambda: self._metrics.render(),
            begin_leave=self.begin_leave,
        )

    def _is_ready(self) -> bool:
        is_serving = self.core.members.own.state is membership.MemberState.SERVING
        return is_serving and self.core.book.number > 0

    def _status(self) -> status.EntryStatus:
        return status.describe(self.core, self.now())

    def _explain(self, flow: bytes) -> status.FlowStatus:
        return status.explain(self.core, flow, self.now())

    def _hold(self, name: str, is_held: bool) -> bool:
        states = self.core.table.states.values()
        tag = next((s.target.tag for s in states if s.target.name == name), None)
        if tag is None:
            return False
        at_ms = time.time_ns() // 1_000_000
        self._perform(self.core.set_operator_drain(tag, is_held, at_ms, self.now()))
        return True

    def _perform(self, wanted: list[actions.Action]) -> None:
        for action in wanted:
            if isinstance(action, actions.SendPacket):
                self._packets.send(action.endpoint, action.data)
            elif isinstance(action, actions.SendControl):
                self.datagrams.send(action.endpoint, action.data)
            elif isinstance(action, actions.Log):
                self._log.write(action.event, "entry", action.peer, action.detail)
            elif isinstance(action, actions.FetchRules):
                self._fetch(action)

    def _on_packet(self, data: bytes, source: tuple[str, int]) -> None:
        self._perform(self.core.handle_packet(data, source[0], self.now()))

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        peer = f"{source[0]}:{source[1]}"
        self._perform(self.core.handle_control(data, peer, self.now()))

    def _on_announcement(self, state: targets.TargetState) -> float:
        now_s = self.now()
        self._perform(self.core.handle_announcement(state, now_s))
        return self.core.table.old_lease_left_s(state.target, now_s)

    def _fetch(self, action: actions.FetchRules) -> None:
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch_rules(action))

    async def _fetch_rules(self, action: actions.FetchRules) -> None:
        keys = self._secrets.datagram_keys
        found = await http.fetch_rules(self._session, action.host, action.port, keys)
        if isinstance(found, http.FetchedRules):
            self._perform(self.core.install_rules(found.number, found.content))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self.now()
            self._perform(self.core.tick(now_s))
            if self.core.may_stop(now_s):
                self._left.set()

    async def _poll_rules_forever(self) -> None:
        was_reached = True
        while True:
            try:
                reply = await self._control.newer_rules(self.core.book.number)
            except errors.Error as error:
                if was_reached:
                    event = events.RULES_UNREACHABLE
                    self._log.write(event, error.step, error.peer, error.reason)
                was_reached = False
            else:
                was_reached = True
                if reply.rule_file.number:
                    file = reply.rule_file
                    self._perform(self.core.install_rules(file.number, file.content))
                places = self.core.install_places(reply.places_revision, reply.evacuated_zones)
                self._perform(places)
            await asyncio.sleep(RULES_POLL_S)

    def begin_leave(self) -> None:
        """Starts a planned leave."""
        self._perform(self.core.begin_leave(self.now()))

    async def leave(self) -> None:
        """Leaves as planned and returns when the process may stop."""
        self.begin_leave()
        await self.wait_ended()

    async def wait_ended(self) -> None:
        """Waits until a planned leave is complete, whoever started it."""
        await self._left.wait()
        self._log.write(events.LEAVE_FINISHED, "leave", self.config.name, "")

    async def stop(self) -> None:
        """Closes the sockets at once, without a word to anyone."""
        if self._is_stopped:
            return
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        if self._fetching is not None:
            self._fetching.cancel()
        self._packets.close()
        self.datagrams.close()
        await self._http.stop()
        await self._control.close()
        await self._session.close()
        self._metrics.close()
        self._log.write(events.PROCESS_STOPPED, "stop", self.config.name, "")
