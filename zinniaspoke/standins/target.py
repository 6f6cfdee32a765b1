"""Stand-in for a target: accepts connections and runs work in slots."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from zinniaspoke import packets
from zinniaspoke.standins import loop as loops
from zinniaspoke.standins import tcp, traffic

DRAIN_GRACE_S = 2.5
POLL_S = 0.05
CHUNK_BYTES = 500


@attrs.define(kw_only=True, slots=True)
class Request:
    """A request line.

    Attributes:
        service: The service that the caller meant.
        request_id: Unique number.
        work_s: How long the work takes.
        chunk_count: Pieces in which the answer comes.
    """

    service: str
    request_id: str
    work_s: float
    chunk_count: int

    def encode(self) -> bytes:
        """Returns the line as bytes."""
        words = (self.service, self.request_id, self.work_s, self.chunk_count)
        return (" ".join(str(word) for word in words) + "\n").encode()

    @classmethod
    def decode(cls, line: bytes) -> "Request":
        """Reads a line.

        Args:
            line: The bytes without the newline.
        """
        service, request_id, work, chunks = line.decode().split()
        return cls(
            service=service,
            request_id=request_id,
            work_s=float(work),
            chunk_count=int(chunks),
        )


@attrs.define(kw_only=True, slots=True, eq=False)
class _Work:
    connection: tcp.Connection
    chunk_s: float
    chunk_count: int


class TargetHost:
    """One target process, apart from its announcements.

    Attributes:
        service: Its service.
        host: Its IP number.
        incarnation: Number of this process.
        is_stalled: Whether it answers nothing at all, as a frozen process does.
        refuses: Whether it resets every opening, as one that sheds load does.
        slowness: Factor on the time of its work.
    """

    def __init__(
        self,
        *,
        service: str,
        host: str,
        incarnation: int,
        slot_count: int,
        loop: loops.Loop,
        transmit: Callable[[bytes], None],
        tally: traffic.Traffic,
        rng: random.Random,
    ) -> None:
        """Prepares a target.

        Args:
            service: Its service.
            host: Its IP number.
            incarnation: Number of this process.
            slot_count: Pieces of work that it runs at once.
            loop: Time and timers.
            transmit: Sends an IP packet towards the fabric.
            tally: Where outcomes are counted.
            rng: Seeded random source.
        """
        self.service = service
        self.host = host
        self.incarnation = incarnation
        self.slot_count = slot_count
        self.is_stalled = False
        self.refuses = False
        self.slowness = 1.0
        self._loop = loop
        self._transmit = transmit
        self._tally = tally
        self._rng = rng
        self._draining_s: float | None = None
        self._is_stopped = False
        self._connections: dict[bytes, tcp.Connection] = {}
        self._queue: deque[tuple[tcp.Connection, Request]] = deque()
        self._running: list[_Work] = []
        loop.call_later(POLL_S, self._poll)

    @property
    def name(self) -> str:
        """Service, host and incarnation."""
        return f"{self.service}@{self.host}/{self.incarnation}"

    @property
    def open_count(self) -> int:
        """Connections that are open."""
        ended = (tcp.State.CLOSED, tcp.State.RESET)
        return sum(c.state not in ended for c in self._connections.values())

    @property
    def running_count(self) -> int:
        """Slots that are taken."""
        return len(self._running)

    def note_draining(self) -> None:
        """Notes that it has announced to drain."""
        self._draining_s = self._loop.time()

    def stop(self) -> None:
        """Ends the process at once."""
        self._is_stopped = True

    def receive(self, packet: packets.Packet) -> None:
        """Takes a caller's packet.

        Args:
            packet: The packet.
        """
        if self._is_stopped or self.is_stalled:
            return
        flow = packet.caller_flow
        if self._tally.meant.get(flow) != self.service:
            self._tally.wrong_service_count += 1
        connection = self._connections.get(flow)
        if packet.is_opening and (connection is None or connection.state is tcp.State.RESET):
            self._accept(packet, flow)
        elif connection is None:
            if not packet.flags & packets.RST:
                self._transmit(packets.build_reset_reply(packet))
        else:
            self._pass_on(connection, packet)

    def _pass_on(self, connection: tcp.Connection, packet: packets.Packet) -> None:
        connection.receive(packet, self._loop.time())
        self._read(connection)
        if connection.is_finished_by_peer and not self._has_work(connection):
            connection.finish(self._loop.time())

    def _accept(self, packet: packets.Packet, flow: bytes) -> None:
        now_s = self._loop.time()
        if self._draining_s is not None and now_s - self._draining_s > DRAIN_GRACE_S:
            self._tally.late_openings += 1
        if self.refuses:
            self._transmit(packets.build_reset_reply(packet))
            return
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
            earlier_s = self._tally.placed_s.get(self.name, 0.0)
            self._tally.placed_s[self.name] = earlier_s + request.work_s
            self._queue.append((connection, request))
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._queue and len(self._running) < self.slot_count:
            connection, request = self._queue.popleft()
            if connection.state is tcp.State.RESET:
                continue
            chunk_s = self.slowness * request.work_s / request.chunk_count
            work = _Work(connection=connection, chunk_s=chunk_s, chunk_count=request.chunk_count)
            self._running.append(work)
            self._loop.call_later(chunk_s, self._work, work)

    def _work(self, work: _Work) -> None:
        if self._is_stopped:
            return
        if self.is_stalled:
            self._loop.call_later(POLL_S, self._work, work)
            return
        now_s = self._loop.time()
        work.chunk_count -= 1
        is_last = work.chunk_count == 0 or work.connection.state is tcp.State.RESET
        work.connection.send(b"." * CHUNK_BYTES + (b"\n" if is_last else b""), now_s)
        if not is_last:
            self._loop.call_later(work.chunk_s, self._work, work)
            return
        self._running.remove(work)
        if work.connection.is_finished_by_peer:
            work.connection.finish(now_s)
        self._fill_slots()

    def _poll(self) -> None:
        if self._is_stopped:
            return
        ended = (tcp.State.CLOSED, tcp.State.RESET)
        if not self.is_stalled:
            for connection in list(self._connections.values()):
                if connection.state not in ended:
                    connection.poll(self._loop.time())
        self._loop.call_later(POLL_S, self._poll)
