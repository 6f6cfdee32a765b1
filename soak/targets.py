"""Targets: they announce themselves, take flows and run requests."""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable

import attrs

from soak import net, processes, promises, schedule, traffic, wire

WORK_S = 0.02
ANNOUNCE_PATH = "/api/instances/"


@attrs.define(kw_only=True, eq=False)
class _End:
    """A target's end of a flow."""

    seq: int
    ack: int
    first_seq: int
    echo: int = 0
    is_open: bool = False
    is_ended: bool = False
    answered: dict[int, tuple[int, bytes, int]] = attrs.field(factory=dict)


class Target:
    """One lifetime of a target.

    Attributes:
        identity: Its name.
        host: Its address.
        service: Its service.
        zone: Its zone.
        state: ``ready``, ``draining`` or ``ended``.
        started_s: When it started.
    """

    def __init__(
        self,
        *,
        identity: str,
        host: str,
        service: str,
        zone: str,
        clock_offset_ms: int,
        is_cold: bool,
        site: "Targets",
    ) -> None:
        """Prepares a target."""
        self.identity = identity
        self.host = host
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.started_s = site.now()
        self._warm_s = self.started_s + (processes.COLD_START_S if is_cold else 0.0)
        self._site = site
        self._born = int(time.time() * 1000) + clock_offset_ms
        self._sequence = 0
        self._number = int(identity.removeprefix("i-"), 16)
        self._ends: dict[tuple[str, int], _End] = {}
        self._control = site.rng.choice(schedule.CONTROLS)
        self._socket: socket.socket | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Opens the socket and begins to announce itself."""
        self._socket = traffic.open_socket(self.host, processes.CALL_PORT, self._take)
        self._task = asyncio.ensure_future(self._announce_forever())

    def stop(self) -> None:
        """Ends at once, as a crash does."""
        if self.state != "ended":
            self.state = "ended"
            self._task.cancel()
            traffic.close_socket(self._socket)

    # Announcements

    async def announce(self, limit_s: float) -> bool:
        """Announces its state until a control VM acknowledges it."""
        self._sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": f"{self.host}:{processes.CALL_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": max(0, int(1000 * (self._warm_s - self._site.now()))),
            "sequence": self._sequence,
            "born": self._born,
        }
        return await self._call("PUT", json.dumps(body).encode(), limit_s, state == "draining")

    async def _call(self, method: str, body: bytes, limit_s: float, is_leaving: bool) -> bool:
        until_s = self._site.now() + limit_s
        path = ANNOUNCE_PATH + self.identity
        while self._site.now() < until_s:
            control = self._control
            endpoint = (self._site.addresses.vm(control), processes.CALL_PORT)
            answer = await self._site.paths.call(self.host, endpoint, method, path, body)
            if answer is not None and answer[0] // 100 == 2:
                if is_leaving:
                    self._site.judge.leaves(self.identity, control, self._site.now())
                return True
            others = [name for name in schedule.CONTROLS if name != control]
            self._control = self._site.rng.choice(others)
            await asyncio.sleep(0.05)
        return False

    async def _announce_forever(self) -> None:
        while True:
            await self.announce(processes.HEARTBEAT_S)
            await asyncio.sleep(processes.HEARTBEAT_S)

    async def leave(self) -> None:
        """Drains, serves on for the bound and a little longer, then ends."""
        if self.state != "ready":
            return
        self.state = "draining"
        if await self.announce(6.0):
            bound_s = processes.BOUNDS["drain_timeout_ms"] / 1000
            await asyncio.sleep(bound_s + self._site.rng.uniform(0.5, 3.0))
            if self.state == "draining":
                await self._call("DELETE", b"", 3.0, True)
        self.stop()

    # Packets

    def _take(self, datagram: bytes, source: str) -> None:
        site = self._site
        if not site.paths.reaches(source, self.host):
            return
        number = int.from_bytes(datagram[:8], "big")
        if number not in (0, self._number):
            site.judge.counts["packets for another lifetime"] += 1
            return
        packet = wire.decode(datagram[8:])
        if not packet.is_whole:
            site.judge.changed_packet(str(packet.source), self.identity, site.now())
            return
        end = self._ends.get(packet.source)
        if packet.flags & wire.SYN:
            self._take_opening(packet, end, source)
        elif packet.flags & wire.RST:
            self._ends.pop(packet.source, None)
        elif end is None or end.is_ended:
            if not packet.flags & wire.FIN and (packet.data or end is None):
                self._reply(packet, wire.RST, packet.ack, packet.seq)
        else:
            self._take_data(packet, end)

    def _reply(self, to: wire.Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        if self.state == "ended":
            return
        end = self._ends.get(to.source)
        answer = wire.Packet(
            source=to.destination,
            destination=to.source,
            flags=flags,
            seq=seq,
            ack=ack,
            echo=end.echo if end else to.echo,
            data=data,
        )
        self._socket.sendto(answer.encode(), (to.source[0], processes.PACKET_PORT))

    def _take_opening(self, packet: wire.Packet, end: _End | None, source: str) -> None:
        site = self._site
        if end is None or end.first_seq != packet.seq:
            flow = site.flow_of(packet.source)
            entry = next(n for n in schedule.ENTRIES if site.addresses.vm(n) == source)
            sent_s = flow.openings_s[packet.ack] if flow else site.now() - 10.0
            site.judge.opening(
                target=self.identity,
                service=self.service,
                zone=self.zone,
                port=packet.destination[1],
                entry=entry,
                lifetime=site.lifetime_of(entry),
                sent_s=sent_s,
                now_s=site.now(),
                flow=flow.label if flow else str(packet.source),
            )
            if processes.COLD_PER_S and site.now() < self._warm_s:
                site.judge.cold_opening(self.identity, processes.COLD_PER_S, sent_s, site.now())
            end = self._ends[packet.source] = _End(
                seq=site.rng.randrange(1 << 28), ack=packet.seq + 1, first_seq=packet.seq
            )
        end.echo = packet.echo
        if not end.is_open:
            self._reply(packet, wire.SYN | wire.ACK, end.seq, end.ack)

    def _take_data(self, packet: wire.Packet, end: _End) -> None:
        if not end.is_open:
            if packet.ack != end.seq + 1:
                return
            end.is_open = True
            end.seq += 1
        end.echo = packet.echo or end.echo
        if packet.flags & wire.FIN:
            end.is_ended = True
            self._reply(packet, wire.ACK, end.seq, packet.seq + 1)
        elif packet.data and packet.seq in end.answered:
            seq, data, flags = end.answered[packet.seq]
            if data:
                self._reply(packet, flags, seq, packet.seq + len(packet.data), data)
        elif packet.data and packet.seq == end.ack:
            end.ack += len(packet.data)
            end.answered[packet.seq] = (0, b"", 0)
            asyncio.get_running_loop().call_later(WORK_S, self._run, packet, end)

    def _run(self, packet: wire.Packet, end: _End) -> None:
        if self.state == "ended":
            return
        attempt, job, is_safe = packet.data.decode().split()
        self._site.judge.ran(
            attempt=attempt,
            job=job,
            is_safe=is_safe == "1",
            target=self.identity,
            now_s=self._site.now(),
        )
        flags = wire.ACK | (wire.FIN if self.state == "draining" else 0)
        data = attempt.encode()
        end.answered[packet.seq] = (end.seq, data, flags)
        self._reply(packet, flags, end.seq, end.ack, data)
        end.seq += len(data)


class Targets:
    """All targets, one at a time in each slot.

    Attributes:
        slots: The target in each slot.
    """

    def __init__(
        self,
        *,
        paths: net.Net,
        addresses: processes.Addresses,
        judge: promises.Judge,
        rng: random.Random,
        flow_of: Callable[[tuple[str, int]], traffic.Flow | None],
        lifetime_of: Callable[[str], str],
    ) -> None:
        """Prepares the targets."""
        self.paths = paths
        self.addresses = addresses
        self.judge = judge
        self.rng = rng
        self.flow_of = flow_of
        self.lifetime_of = lifetime_of
        self.slots: dict[int, Target] = {}
        self._offsets_ms: dict[int, int] = {}

    @staticmethod
    def now() -> float:
        """The soak's clock."""
        return asyncio.get_running_loop().time()

    def start(self, slot: int, service: str, identity: str = "", is_cold: bool = True) -> None:
        """Starts a target in a slot."""
        offset_ms = self._offsets_ms.setdefault(slot, self.rng.randrange(-2000, 2000))
        host = self.addresses.target(slot)
        zone = "ab"[slot % 2]
        self.paths.zone_of[host] = zone
        target = Target(
            identity=identity or f"i-{self.rng.randrange(1 << 24, 1 << 32):x}",
            host=host,
            service=service,
            zone=zone,
            clock_offset_ms=offset_ms,
            is_cold=is_cold,
            site=self,
        )
        target.start()
        self.slots[slot] = target

    def is_alive(self, host: str, by_s: float) -> bool:
        """Whether the target that ran at an address at a moment still runs."""
        return any(
            t.host == host and t.state != "ended" and t.started_s < by_s
            for t in self.slots.values()
        )

    def has_ready(self, service: str, since_s: float, avoided: set[str]) -> bool:
        """Whether a service has had a ready target for long, outside of some zones."""
        return any(
            t.service == service
            and t.state == "ready"
            and t.started_s < since_s
            and t.zone not in avoided
            for t in self.slots.values()
        )
