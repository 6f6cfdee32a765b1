"""The fabric and the callers."""

import asyncio
import random
import socket
import zlib
from collections.abc import Callable

import attrs

from soak import net, processes, promises, schedule, wire

# A caller's copies of an opening, and when it gives up.
COPY_WAITS_S = (0.2, 0.4, 0.8)
BUDGET_S = 3.0
RESENT_S = (0.2, 0.4, 0.8, 1.6)
TRY_COUNT = 3
MISS_COUNT = 2
CHECK_S = 0.5


def open_socket(host: str, port: int, take: Callable[[bytes, str], None]) -> socket.socket:
    """Opens a UDP socket whose datagrams are handed on with the sender's address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.setblocking(False)
    sock.bind((host, port))

    def read() -> None:
        for _ in range(64):
            try:
                data, address = sock.recvfrom(2048)
            except BlockingIOError:
                return
            take(data, address[0])

    asyncio.get_running_loop().add_reader(sock.fileno(), read)
    return sock


def close_socket(sock: socket.socket) -> None:
    """Closes a socket of ``open_socket``."""
    asyncio.get_running_loop().remove_reader(sock.fileno())
    sock.close()


class Fabric:
    """Sends callers' packets to entry VMs that answer the readiness check."""

    def __init__(
        self, *, paths: net.Net, addresses: processes.Addresses, pools: dict[str, list[str]]
    ) -> None:
        """Starts with no entry VM in rotation."""
        self._paths = paths
        self._addresses = addresses
        self._pools = pools
        self._misses = {name: MISS_COUNT for pool in pools.values() for name in pool}

    @property
    def ready(self) -> list[str]:
        """Entry VMs in rotation."""
        return [name for name, count in self._misses.items() if count < MISS_COUNT]

    async def check_forever(self, name: str) -> None:
        """Asks an entry VM twice a second whether it is ready."""
        endpoint = (self._addresses.vm(name), processes.READY_PORT)
        while True:
            started_s = asyncio.get_running_loop().time()
            answer = await self._paths.call(
                self._addresses.operator, endpoint, "GET", "/api/readiness", limit_s=CHECK_S
            )
            is_ready = answer is not None and answer[0] == 200
            self._misses[name] = 0 if is_ready else self._misses[name] + 1
            left_s = started_s + CHECK_S - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.05, left_s))

    def choose(self, zone: str, packet: wire.Packet) -> str:
        """Returns the entry VM of a packet: the flow's hash modulo those in rotation."""
        pool = self._pools[zone]
        ready = [name for name in pool if self._misses[name] < MISS_COUNT]
        if not ready:
            ready = self.ready
        if not ready or len(ready) * 2 < len(pool):
            ready = ready if ready and ready[0] not in pool else pool
        key = f"{packet.source}{packet.destination}".encode()
        return ready[zlib.crc32(key) % len(ready)]


@attrs.define(kw_only=True, eq=False)
class Flow:
    """A caller's end of a flow.

    Attributes:
        label: For findings.
        zone: The caller's.
        port: The route's port.
        own: The caller's address and port.
        target_host: Address of its target, once it is open.
        sent: When and through which entry VM packets were sent, newest last.
        openings_s: When each copy of its opening was sent.
        opened_s: When its opening was answered.
        inbox: Packets for it, with the sender's address.
    """

    label: str
    zone: str
    port: int
    own: tuple[str, int]
    seq: int
    ack: int = 0
    echo: int = 0
    target_host: str = ""
    sent: list[tuple[float, str]] = attrs.field(factory=list)
    openings_s: list[float] = attrs.field(factory=list)
    opened_s: float = 0.0
    inbox: asyncio.Queue = attrs.field(factory=asyncio.Queue)


class Callers:
    """All callers.

    Attributes:
        outcomes: Time and outcome of each request.
        flows: Open flows, by the caller's end.
    """

    def __init__(
        self,
        *,
        fabric: Fabric,
        paths: net.Net,
        addresses: processes.Addresses,
        judge: promises.Judge,
        rng: random.Random,
        has_target: Callable[[int], bool],
        is_alive: Callable[[str, float], bool],
    ) -> None:
        """Prepares the callers."""
        self._fabric = fabric
        self._paths = paths
        self._addresses = addresses
        self._judge = judge
        self._rng = rng
        self._has_target = has_target
        self._is_alive = is_alive
        self.flows: dict[tuple[str, int], Flow] = {}
        self.outcomes: list[tuple[float, str]] = []
        self.mutation = ""
        self._sockets: dict[str, socket.socket] = {}
        self._count = 0
        self._tasks: set[asyncio.Task] = set()

    def open(self) -> None:
        """Opens the sockets."""
        for zone in sorted({schedule.ZONES[name] for name in schedule.ENTRIES}):
            host = self._addresses.callers(zone)
            self._sockets[zone] = open_socket(host, processes.PACKET_PORT, self._take)

    def close(self) -> None:
        """Closes the sockets."""
        for task in self._tasks:
            task.cancel()
        for sock in self._sockets.values():
            close_socket(sock)

    def _take(self, data: bytes, source: str) -> None:
        packet = wire.decode(data)
        flow = self.flows.get(packet.destination)
        if flow is None or packet.source != (processes.ROUTE_HOST, flow.port):
            return
        is_own_reset = packet.flags & wire.RST and not data[12:16].strip(b"\0")
        if not packet.is_whole and not is_own_reset:
            self._judge.changed_packet(flow.label, "caller", self._now())
            return
        flow.inbox.put_nowait((packet, source))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def run_forever(self, per_s: float, ports: Callable[[], list[int]]) -> None:
        """Starts requests at a rate."""
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s))
            known = ports()
            if known:
                task = asyncio.ensure_future(self._work(self._rng.choice(known)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _work(self, port: int) -> None:
        """A fresh flow for one request, or one that is kept for several with pauses between."""
        is_safe = port % 2 == 0
        request_count = self._rng.choice((1, 1, 1, 2, 8))
        self._count += 1
        job = f"j{self._count}"
        for number in range(TRY_COUNT):
            outcome = await self._try(f"{job}", number, port, is_safe, request_count)
            self.outcomes.append((self._now(), outcome))
            may_repeat = is_safe or outcome in ("refused", "unopened")
            if outcome == "served" or not may_repeat:
                return

    def _send(self, flow: Flow, flags: int, seq: int, data: bytes = b"", copy: int = 0) -> None:
        packet = wire.Packet(
            source=flow.own,
            destination=(processes.ROUTE_HOST, flow.port),
            flags=flags,
            seq=seq,
            ack=copy if flags & wire.SYN else flow.ack,
            echo=flow.echo,
            data=data,
        )
        name = self._fabric.choose(flow.zone, packet)
        flow.sent.append((self._now(), name))
        host = self._addresses.vm(name)
        if self._paths.reaches(flow.own[0], host):
            endpoint = (host, processes.PACKET_PORT)
            self._sockets[flow.zone].sendto(packet.encode(), endpoint)

    async def _receive(self, flow: Flow, limit_s: float) -> tuple[wire.Packet, str] | None:
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    packet, source = await flow.inbox.get()
                    # A target answers its caller from outside the VMs' network.
                    if self._paths.reaches(source, flow.own[0]) or source == flow.target_host:
                        return packet, source
        except TimeoutError:
            return None

    async def _try(self, job: str, number: int, port: int, is_safe: bool, count: int) -> str:
        zone = self._rng.choice(sorted(self._sockets))
        self._count += 1
        own = (self._addresses.callers(zone), 10000 + self._count % 50000)
        flow = Flow(
            label=f"{job}.{number}:{own[1]}>{port}",
            zone=zone,
            port=port,
            own=own,
            seq=self._rng.randrange(1 << 28),
        )
        self.flows[own] = flow
        try:
            outcome = await self._open(flow)
            if outcome != "open":
                self._judge.not_run(f"{job}.0.{number}", outcome, self._now())
                return outcome
            for index in range(count):
                outcome = await self._request(flow, f"{job}.{index}", number, is_safe)
                if outcome != "served":
                    return outcome
                if flow.target_host == "closed":
                    return outcome
                if index + 1 < count and not await self._pause(flow):
                    return "reset"
            self._send(flow, wire.FIN | wire.ACK, flow.seq)
            return "served"
        finally:
            await asyncio.sleep(0.2)
            del self.flows[own]

    async def _open(self, flow: Flow) -> str:
        for copy, wait_s in enumerate(COPY_WAITS_S):
            flow.openings_s.append(self._now())
            self._send(flow, wire.SYN, flow.seq, copy=copy)
            found = await self._receive(flow, wait_s)
            if found is None:
                continue
            packet, source = found
            if packet.flags & wire.RST:
                self._note_refusal(flow, source)
                return "refused"
            flow.target_host, flow.opened_s = source, self._now()
            flow.seq += 1
            flow.ack, flow.echo = packet.seq + 1, packet.echo
            return "open"
        return "unopened"

    def _note_refusal(self, flow: Flow, source: str) -> None:
        entry = next((n for n in schedule.ENTRIES if self._addresses.vm(n) == source), "")
        if entry:
            self._judge.refused(
                port=flow.port,
                entry=entry,
                sent_s=flow.openings_s[-1],
                now_s=self._now(),
                flow=flow.label,
                has_target=self._has_target(flow.port),
            )

    async def _request(self, flow: Flow, job: str, number: int, is_safe: bool) -> str:
        attempt = f"{job}.{number}"
        data = f"{attempt} {job} {int(is_safe)}".encode()
        deadline_s = self._now() + BUDGET_S
        for wait_s in RESENT_S:
            self._send(flow, wire.ACK, flow.seq, data)
            outcome = await self._await_answer(flow, attempt, len(data), wait_s)
            if outcome:
                return outcome
            if self._now() > deadline_s:
                break
        return "unanswered"

    async def _await_answer(self, flow: Flow, attempt: str, size: int, wait_s: float) -> str:
        until_s = self._now() + wait_s
        while (left_s := until_s - self._now()) > 0:
            found = await self._receive(flow, left_s)
            if found is None:
                return ""
            packet, source = found
            if packet.flags & wire.RST:
                self._check_reset(flow, source)
                return "reset"
            if packet.flags & wire.SYN or packet.seq != flow.ack or not packet.data:
                continue
            if self.mutation == "retry_unsafe" and self._rng.random() < 0.05:
                self._judge.not_run(attempt, "the caller's fault", self._now())
                return "refused"
            if packet.data != attempt.encode():
                self._judge.changed_packet(flow.label, f"answer to {attempt}", self._now())
            flow.ack += len(packet.data)
            flow.seq += size
            self._send(flow, wire.ACK, flow.seq)
            if packet.flags & wire.FIN:
                flow.target_host = "closed"
            return "served"
        return ""

    def _check_reset(self, flow: Flow, source: str) -> None:
        if source == flow.target_host or not self._is_alive(flow.target_host, flow.opened_s):
            return
        now_s = self._now()
        entries = sorted({name for at_s, name in flow.sent if at_s > now_s - BUDGET_S})
        names = {self._addresses.vm(name): name for name in schedule.ENTRIES}
        self._judge.foreign_reset(
            flow=flow.label,
            port=flow.port,
            target=flow.target_host,
            source=names.get(source, source),
            entries=tuple(entries),
            opened_s=flow.opened_s,
            now_s=now_s,
        )

    async def _pause(self, flow: Flow) -> bool:
        until_s = self._now() + self._rng.uniform(0.2, 1.5)
        while (left_s := until_s - self._now()) > 0:
            found = await self._receive(flow, left_s)
            if found is not None and found[0].flags & wire.RST:
                self._check_reset(flow, found[1])
                return False
        return True
