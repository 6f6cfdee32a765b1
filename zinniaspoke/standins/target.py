"""Stand-in for a target: announces itself, accepts connections, runs work in slots."""

import asyncio
import random
from collections import deque

import aiohttp
import attrs

from zinniaspoke import geneve, packets
from zinniaspoke.adapters import udp
from zinniaspoke.standins import fabric, tcp, traffic

ANNOUNCE_S = 1.0
DRAIN_GRACE_S = 2.5
POLL_S = 0.05
CHUNK_BYTES = 500


@attrs.define(kw_only=True, slots=True)
class _Work:
    connection: tcp.Connection
    request_id: str
    ends_s: float
    left_s: float
    chunk_s: float
    chunk_count: int


@attrs.define(kw_only=True, slots=True)
class Request:
    """A request line.

    Attributes:
        service: The service that the caller meant.
        request_id: Unique number.
        work_s: How long the work takes.
        chunk_count: Pieces in which the answer comes.
        keeps_open: Whether the connection stays open afterwards.
    """

    service: str
    request_id: str
    work_s: float
    chunk_count: int
    keeps_open: bool

    def encode(self) -> bytes:
        """Returns the line as bytes."""
        words = (self.service, self.request_id, self.work_s, self.chunk_count, int(self.keeps_open))
        return (" ".join(str(word) for word in words) + "\n").encode()

    @classmethod
    def decode(cls, line: bytes) -> "Request":
        """Reads a line.

        Args:
            line: The bytes without the newline.
        """
        service, request_id, work, chunks, keeps = line.decode().split()
        return cls(
            service=service,
            request_id=request_id,
            work_s=float(work),
            chunk_count=int(chunks),
            keeps_open=keeps == "1",
        )


class Target:
    """One target process."""

    def __init__(
        self,
        *,
        service: str,
        host: str,
        port: int,
        incarnation: int,
        token: str,
        net: fabric.Fabric,
        tally: traffic.Traffic,
        rng: random.Random,
    ) -> None:
        """Prepares a target.

        Args:
            service: Its service.
            host: Its IP number.
            port: Its service port.
            incarnation: Number of this process.
            token: Announcement token.
            net: The fabric.
            tally: Where outcomes are counted.
            rng: Seeded random source.
        """
        self.service = service
        self.host = host
        self.incarnation = incarnation
        self._port = port
        self._token = token
        self._net = net
        self._tally = tally
        self._rng = rng
        self._sequence = 0
        self._state = "ready"
        self._draining_s: float | None = None
        self._connections: dict[bytes, tcp.Connection] = {}
        self._queue: deque[tuple[tcp.Connection, Request]] = deque()
        self._running: list[_Work] = []
        self._slot_count = 2
        self._socket: udp.UdpSocket | None = None
        self._session: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def name(self) -> str:
        """Service, host and incarnation."""
        return f"{self.service}@{self.host}/{self.incarnation}"

    @property
    def open_count(self) -> int:
        """Connections that are open."""
        ended = (tcp.State.CLOSED, tcp.State.RESET)
        return sum(c.state not in ended for c in self._connections.values())

    async def start(self) -> None:
        """Opens the socket and starts to announce."""
        self._socket = await udp.open_socket(self.host, geneve.PORT, self._receive)
        self._session = aiohttp.ClientSession()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._announce_forever()),
            loop.create_task(self._poll_forever()),
        ]

    async def stop(self) -> None:
        """Ends the process at once."""
        for task in self._tasks:
            task.cancel()
        await self._session.close()
        self._socket.close()
        await asyncio.sleep(0)  # The loop closes the socket on its next turn.

    async def drain(self) -> None:
        """Announces that no new work is wanted."""
        self._state = "draining"
        await self._announce()
        self._draining_s = self._now()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(ANNOUNCE_S)

    async def _announce(self) -> None:
        """Announces to any entry VM; tries another where one does not answer."""
        self._sequence += 1
        body = {
            "address": self.host,
            "port": self._port,
            "service": self.service,
            "incarnation": self.incarnation,
            "sequence": self._sequence,
            "state": self._state,
            "slot_count": self._slot_count,
        }
        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=0.5)
        for _ in range(3):
            route = self._net.pick()
            if route is None:
                return
            url = f"http://{route.host}:{route.http_port}/targets"
            try:
                async with self._session.put(
                    url, json=body, headers=headers, timeout=timeout
                ) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                continue

    def _transmit(self, inner: bytes) -> None:
        route = self._net.pick()
        if route is not None:
            self._socket.send((route.host, route.data_port), geneve.encapsulate(inner))

    def _receive(self, data: bytes, _: tuple[str, int]) -> None:
        packet = packets.decode(geneve.decapsulate(data, ()).inner)
        flow = packet.caller_flow
        if self._tally.meant.get(flow) != self.service:
            self._tally.wrong_service_count += 1
        connection = self._connections.get(flow)
        if packet.opens and (connection is None or connection.state is tcp.State.RESET):
            self._accept(packet, flow)
            return
        if connection is None:
            if not packet.flags & packets.RST:
                self._transmit(packets.build_reset_reply(packet))
            return
        connection.receive(packet, self._now())
        self._read(connection)
        if connection.is_finished_by_peer and not self._has_work(connection):
            connection.finish(self._now())

    def _accept(self, packet: packets.Packet, flow: bytes) -> None:
        now_s = self._now()
        if self._draining_s is not None and now_s - self._draining_s > DRAIN_GRACE_S:
            self._tally.late_openings += 1
        connection = tcp.Connection(
            local=tcp.Address(host=packet.destination, port=packet.destination_port),
            remote=tcp.Address(host=packet.source, port=packet.source_port),
            first_sequence=self._rng.randrange(1 << 28),
            transmit=self._transmit,
        )
        self._connections[flow] = connection
        connection.accept(packet, now_s)

    def _has_work(self, connection: tcp.Connection) -> bool:
        is_queued = any(queued is connection for queued, _ in self._queue)
        return is_queued or any(work.connection is connection for work in self._running)

    def _read(self, connection: tcp.Connection) -> None:
        while b"\n" in connection.received:
            line, _, rest = bytes(connection.received).partition(b"\n")
            connection.received[:] = rest
            request = Request.decode(line)
            if request.request_id in self._tally.ran:
                self._tally.repeated_count += 1
            self._tally.ran[request.request_id] = self.name
            self._tally.placed[self.name] = self._tally.placed.get(self.name, 0) + 1
            self._queue.append((connection, request))
        self._fill_slots()

    def _fill_slots(self) -> None:
        now_s = self._now()
        while self._queue and len(self._running) < self._slot_count:
            connection, request = self._queue.popleft()
            chunk_s = request.work_s / request.chunk_count
            self._running.append(
                _Work(
                    connection=connection,
                    request_id=request.request_id,
                    ends_s=now_s + chunk_s,
                    left_s=request.work_s,
                    chunk_s=chunk_s,
                    chunk_count=request.chunk_count,
                )
            )
            asyncio.get_running_loop().call_later(chunk_s, self._work)

    def _work(self) -> None:
        now_s = self._now()
        for work in [w for w in self._running if w.ends_s <= now_s + 0.001]:
            work.chunk_count -= 1
            is_last = work.chunk_count == 0
            body = b"." * CHUNK_BYTES + (b"\n" if is_last else b"")
            work.connection.send(body, now_s)
            if is_last:
                self._running.remove(work)
                if work.connection.is_finished_by_peer:
                    work.connection.finish(now_s)
            else:
                work.ends_s += work.chunk_s
                asyncio.get_running_loop().call_later(work.chunk_s, self._work)
        self._fill_slots()

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            now_s = self._now()
            for connection in list(self._connections.values()):
                connection.poll(now_s)
