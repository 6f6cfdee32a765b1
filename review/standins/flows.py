"""Callers and targets that speak the packets of the pages."""

import asyncio
import json
import random
import socket
import struct
import time
import zlib
from collections.abc import Callable

import attrs

from standins import deployment

SYN, ACK, FIN, RST = 32, 2, 8, 128
# Copies of an opening, and when a caller gives up.
COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
RESEND_S, RESEND_LIMIT_S = 0.2, 1.6
_HEAD = struct.Struct("!IIIIHB3s4s4sHH")
# Known to callers and targets only.
_KEY = 0x2B7E1516


@attrs.frozen(kw_only=True)
class Packet:
    """One packet.

    Attributes:
        source: Address and port of the sender's end.
        destination: Address and port of the other end.
        flags: ``SYN``, ``ACK``, ``FIN``, ``RST``.
        seq: Position of its data.
        ack: What the sender has received, or the number of an opening's copy.
        echo: The field that both ends return.
        data: Its data.
        total: The keyed sum as it arrived.
    """

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    total: int = 0

    def _pack(self, echo: int, total: int) -> bytes:
        return _HEAD.pack(
            self.seq % (1 << 32),
            self.ack % (1 << 32),
            echo,
            total,
            len(self.data),
            self.flags,
            b"",
            socket.inet_aton(self.source[0]),
            socket.inet_aton(self.destination[0]),
            self.destination[1],
            self.source[1],
        )

    @property
    def own_total(self) -> int:
        """The keyed sum that its sender writes."""
        return zlib.crc32(self._pack(0, 0) + self.data, _KEY) or 1

    def encode(self) -> bytes:
        """Returns its bytes."""
        return self._pack(self.echo, self.own_total) + self.data


def decode(data: bytes) -> Packet:
    """Reads a packet.

    Args:
        data: Its bytes.
    """
    seq, ack, echo, total, _, flags, _, source, destination, dport, sport = _HEAD.unpack_from(data)
    return Packet(
        source=(socket.inet_ntoa(source), sport),
        destination=(socket.inet_ntoa(destination), dport),
        flags=flags,
        seq=seq,
        ack=ack,
        echo=echo,
        data=data[_HEAD.size :],
        total=total,
    )


def open_socket(host: str, port: int, take: Callable[[bytes, str], None]) -> socket.socket:
    """Opens a UDP socket.

    Args:
        host: Its address.
        port: Its port.
        take: Is given each datagram and its sender's address.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, port))

    def read() -> None:
        while True:
            try:
                data, address = sock.recvfrom(2048)
            except BlockingIOError:
                return
            take(data, address[0])

    asyncio.get_running_loop().add_reader(sock.fileno(), read)
    return sock


@attrs.define(kw_only=True, eq=False)
class _End:
    """A target's end of a flow."""

    seq: int
    ack: int
    echo: int
    is_open: bool = False
    is_ended: bool = False
    answers: dict[int, Packet | None] = attrs.field(factory=dict)


class Target:
    """One lifetime of a target.

    Attributes:
        identity: Its name.
        flows: Its ends of flows.
        loses: Is asked about each packet; whether it is lost on its way here.
        on_opening: Is told of each opening packet that is taken.
        on_run: Is told of each request that is run.
    """

    def __init__(
        self,
        *,
        site: deployment.Deployment,
        number: int,
        service: str,
        zone: str,
        flow_limit: int = 2000,
        identity: str = "",
        control: int = 0,
    ) -> None:
        """Prepares a target.

        Args:
            site: The deployment.
            number: Tells targets apart.
            service: Its service.
            zone: Its zone.
            flow_limit: How many flows it holds.
            identity: Its name; a new one where it is empty.
            control: Which control VM it calls first; it stays there until a call fails.
        """
        self._site = site
        self._control = control
        self.identity = identity or f"i-{random.getrandbits(31) | 1 << 31:x}"
        self.service = service
        self.host = site.other_host(3, number)
        self.zone = zone
        self._flow_limit = flow_limit
        self._born = int(time.time() * 1000)
        self._sequence = 0
        # Control VMs to which the link is cut; what is sent arrives when it heals.
        self._cut: dict[str, asyncio.Event] = {}
        self.flows: dict[tuple[str, int], _End] = {}
        self.loses: Callable[[Packet], bool] = lambda packet: False
        self.on_opening: Callable[[Packet], None] = lambda packet: None
        self.on_run: Callable[[Packet], None] = lambda packet: None
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task] = set()
        # Calls on their way; they outlive the target.
        self._late: set[asyncio.Task] = set()
        self.state = "ready"

    @property
    def control(self) -> str:
        """The control VM that it calls."""
        return self._site.controls[self._control % len(self._site.controls)]

    @property
    def address(self) -> str:
        """Its address, as it announces it."""
        return f"{self.host}:{self._site.call_port}"

    def start(self) -> None:
        """Takes packets and begins to announce itself."""
        self._socket = open_socket(self.host, self._site.call_port, self._take)
        self._spawn(self._announce_forever())

    def _spawn(self, job: object, is_kept: bool = False) -> None:
        task = asyncio.ensure_future(job)
        tasks = self._late if is_kept else self._tasks
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def cut(self, control: str) -> None:
        """Cuts the link to a control VM; the connection that it keeps there stays open.

        Args:
            control: The control VM.
        """
        host = self._site.host(control)
        self._kept = await asyncio.open_connection(host, self._site.call_port)
        self._cut[control] = asyncio.Event()
        self._site.note(f"link cut: {self.identity} and {control}")

    def heal(self, control: str) -> None:
        """Heals the link to a control VM.

        Args:
            control: The control VM.
        """
        self._site.note(f"link healed: {self.identity} and {control}")
        self._cut.pop(control).set()

    async def _arrive_late(self, name: str, method: str, path: str, body: bytes) -> None:
        """Holds the bytes of a call until the link heals; its sender has closed by then."""
        await self._cut[name].wait()
        reader, writer = self._kept
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._site.host(name)}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        writer.write_eof()
        self._site.note(f"the bytes of {method} {self.identity} arrive at {name}, then the close")
        await reader.read()
        writer.close()

    async def announce(self) -> None:
        """Announces itself to one control VM after the other until one acknowledges."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        await self._call("PUT", json.dumps(body).encode())
        if self._sequence == 1:
            self._site.note(f"{self.identity}/{self._born}: first heartbeat acknowledged")

    async def _call(self, method: str, body: bytes = b"") -> None:
        """Calls a control VM, and the next one after a second without a good answer."""
        path = f"/api/instances/{self.identity}"
        for _ in range(3 * len(self._site.controls)):
            name = self.control
            if name in self._cut:
                self._spawn(self._arrive_late(name, method, path, body), is_kept=True)
                await asyncio.sleep(1.0)
                answer = None
            else:
                answer = await self._site.call(name, method, path, body)
            status = answer[0] if answer else 0
            if method == "DELETE" or not status:
                self._site.note(f"{method} {self.identity} at {name}: {status or 'no answer'}")
            if status // 100 == 2:
                return
            self._control += 1

    async def leave(self) -> None:
        """Reports that it drains, and serves on for the bound and a little longer."""
        self.state = "draining"
        await self.announce()
        self._site.note(f"{self.identity}: draining is acknowledged")
        await asyncio.sleep(deployment.BOUNDS["drain_timeout_ms"] / 1000 + 0.3)

    async def end(self) -> None:
        """Says that it ends, and ends once that is acknowledged."""
        # Its heartbeats end with its last word.
        for task in list(self._tasks):
            task.cancel()
        await self._call("DELETE")
        self.close()

    async def _announce_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(deployment.HEARTBEAT_S)

    # Packets

    @property
    def open_count(self) -> int:
        """Flows that it holds."""
        return sum(not end.is_ended for end in self.flows.values())

    def _take(self, datagram: bytes, _source: str) -> None:
        number = int.from_bytes(datagram[:8], "big")
        if number not in (0, int(self.identity.removeprefix("i-"), 16)):
            return
        packet = decode(datagram[8:])
        if packet.total != packet.own_total:
            self._site.note(f"{self.identity} got a changed packet")
            return
        if self.loses(packet):
            self._site.note(f"a packet of {packet.source[1]} to {self.identity} is lost")
            return
        end = self.flows.get(packet.source)
        if packet.flags & SYN:
            self._take_opening(packet, end)
        elif packet.flags & RST:
            self.flows.pop(packet.source, None)
        elif end is None or (end.is_ended and packet.data):
            self._reply(packet, RST, packet.ack, packet.seq)
        elif packet.flags & FIN:
            flags = ACK if end.is_ended else FIN | ACK
            end.is_ended = True
            self._reply(packet, flags, end.seq, packet.seq + 1)
        else:
            self._take_data(packet, end)

    def _reply(self, to: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        end = self.flows.get(to.source)
        packet = Packet(
            source=to.destination,
            destination=to.source,
            flags=flags,
            seq=seq,
            ack=ack,
            echo=end.echo if end else to.echo,
            data=data,
        )
        self._socket.sendto(packet.encode(), (to.source[0], self._site.packet_port))

    def _take_opening(self, packet: Packet, end: _End | None) -> None:
        if end is None:
            if self.open_count >= self._flow_limit:
                # A full target sends nothing.
                return
            end = self.flows[packet.source] = _End(
                seq=random.randrange(1 << 24, 1 << 31), ack=packet.seq + 1, echo=packet.echo
            )
            self.on_opening(packet)
        end.echo = packet.echo
        if not end.is_open:
            self._reply(packet, SYN | ACK, end.seq, end.ack)

    def _take_data(self, packet: Packet, end: _End) -> None:
        if not end.is_open:
            if packet.ack != end.seq + 1:
                return
            end.is_open = True
            end.seq += 1
        end.echo = packet.echo or end.echo
        if not packet.data:
            return
        if packet.seq in end.answers:
            answer = end.answers[packet.seq]
            if answer is None:
                self._reply(packet, ACK, end.seq, end.ack)
            else:
                self._reply(packet, ACK, answer.seq, answer.ack, answer.data)
            return
        end.ack = packet.seq + len(packet.data)
        end.answers[packet.seq] = None
        self._reply(packet, ACK, end.seq, end.ack)
        self._spawn(self._run(packet, end))

    async def _run(self, packet: Packet, end: _End) -> None:
        self.on_run(packet)
        words = packet.data.decode().split()
        self._site.note(f"{self.identity} ({self.service}) runs {words[0]}")
        await asyncio.sleep(float(words[1]))
        data = f"done {words[0]}".encode()
        answer = Packet(
            source=packet.destination,
            destination=packet.source,
            flags=ACK,
            seq=end.seq,
            ack=end.ack,
            data=data,
        )
        end.answers[packet.seq] = answer
        end.seq += len(data)
        self._reply(packet, ACK, answer.seq, answer.ack, data)

    def close(self) -> None:
        """Ends the target."""
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()


class Callers:
    """All callers of a zone.

    Attributes:
        entry: The entry VM that the fabric's hash picks.
    """

    def __init__(self, site: deployment.Deployment, entry: str) -> None:
        """Opens their socket.

        Args:
            site: The deployment.
            entry: The entry VM that gets their packets.
        """
        self.site = site
        self.entry = entry
        self.host = site.other_host(4, 1)
        self._flows: dict[int, Flow] = {}
        self._port = random.randrange(30000, 50000)
        self._socket = open_socket(self.host, site.packet_port, self._take)

    def _take(self, datagram: bytes, source: str) -> None:
        packet = decode(datagram)
        flow = self._flows.get(packet.destination[1])
        if flow is not None:
            flow.take(packet, source)

    def send(self, packet: Packet) -> None:
        """Sends a packet through the fabric.

        Args:
            packet: The packet.
        """
        endpoint = (self.site.host(self.entry), self.site.packet_port)
        self._socket.sendto(packet.encode(), endpoint)

    def flow(self, port: int) -> "Flow":
        """Returns a new flow, which is not open yet.

        Args:
            port: The route's port.
        """
        self._port += 1
        flow = self._flows[self._port] = Flow(callers=self, own_port=self._port, port=port)
        return flow

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()


class Flow:
    """A caller's end of a flow.

    Attributes:
        sent_s: When each copy of the opening was sent.
        outcome: ``open``, ``refused``, ``unopened``, ``reset`` or empty.
        reset_by: Address of the sender of a reset.
    """

    def __init__(self, *, callers: Callers, own_port: int, port: int) -> None:
        """Prepares a flow.

        Args:
            callers: Whose it is.
            own_port: The caller's port.
            port: The route's port.
        """
        self._callers = callers
        self.own = (callers.host, own_port)
        self._route = (deployment.ROUTE_HOST, port)
        self._seq = random.randrange(1 << 24, 1 << 31)
        self._ack = self._echo = 0
        self.sent_s: list[float] = []
        self.outcome = ""
        self.reset_by = ""
        self._answers: asyncio.Queue[bytes] = asyncio.Queue()
        self._changed = asyncio.Event()
        self._acknowledged = 0

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        self._callers.send(
            Packet(
                source=self.own,
                destination=self._route,
                flags=flags,
                seq=seq,
                ack=ack,
                echo=self._echo,
                data=data,
            )
        )

    def take(self, packet: Packet, source: str) -> None:
        """Takes a packet.

        Args:
            packet: The packet.
            source: Its sender's address.
        """
        if packet.flags & RST:
            is_near = abs(packet.seq - self._ack) <= 76800
            if self.outcome == "" or (self.outcome == "open" and is_near):
                self.outcome = "reset" if self.outcome == "open" else "refused"
                self.reset_by = source
                self._callers.site.note(f"flow {self.own[1]} is {self.outcome} by {source}")
                self._changed.set()
            return
        if packet.flags & SYN:
            if self.outcome == "":
                self.outcome = "open"
                self._ack, self._echo = packet.seq + 1, packet.echo
                self._seq += 1
                self._changed.set()
            return
        self._echo = packet.echo or self._echo
        self._acknowledged = max(self._acknowledged, packet.ack)
        if packet.data and packet.seq == self._ack:
            self._ack += len(packet.data)
            self._send(ACK, self._seq, self._ack)
            self._answers.put_nowait(packet.data)
        self._changed.set()

    async def _wait(self, limit_s: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def open(self) -> str:
        """Opens the flow; returns the outcome."""
        started_s = time.monotonic()
        for copy, at_s in enumerate((*COPIES_S, OPEN_LIMIT_S)):
            while self.outcome == "" and (left_s := started_s + at_s - time.monotonic()) > 0:
                await self._wait(left_s)
            if self.outcome or copy == len(COPIES_S):
                break
            self.sent_s.append(time.monotonic())
            self._send(SYN, self._seq, copy)
            self._callers.site.note(
                f"flow {self.own[1]}>{self._route[1]}: copy {copy} of the opening is sent"
            )
        self.outcome = self.outcome or "unopened"
        self._callers.site.note(f"flow {self.own[1]}>{self._route[1]}: {self.outcome}")
        return self.outcome

    async def request(self, name: str, work_s: float, limit_s: float = 3.0) -> str:
        """Sends a request on the open flow; returns its outcome.

        Args:
            name: The request.
            work_s: How long it is worked on.
            limit_s: The caller's time budget.
        """
        data = f"{name} {work_s}".encode()
        seq, end = self._seq, self._seq + len(data)
        self._seq = end
        until_s, wait_s = time.monotonic() + limit_s, RESEND_S
        due_s = 0.0
        while self.outcome == "open" and time.monotonic() < until_s:
            if not self._answers.empty():
                said = self._answers.get_nowait().decode()
                self._callers.site.note(f"{name}: answered with {said!r}")
                return "served" if said == f"done {name}" else "mixed"
            if self._acknowledged < end and time.monotonic() >= due_s:
                self._callers.site.note(
                    f"{name}: {'sent again' if due_s else 'sent'} on flow {self.own[1]}"
                )
                self._send(ACK, seq, self._ack, data)
                if due_s:
                    wait_s = min(2 * wait_s, RESEND_LIMIT_S)
                due_s = time.monotonic() + wait_s
            left_s = until_s if self._acknowledged >= end else min(due_s, until_s)
            await self._wait(max(0.001, left_s - time.monotonic()))
        said = "unanswered" if self.outcome == "open" else self.outcome
        self._callers.site.note(f"{name}: {said}")
        return said

    def finish(self) -> None:
        """Closes the flow."""
        self._send(FIN | ACK, self._seq, self._ack)


async def start(site: deployment.Deployment, manifest: dict, targets: list[Target]) -> None:
    """Starts all processes and targets, and waits until traffic can be served.

    Args:
        site: The deployment.
        manifest: The first manifest.
        targets: The targets.
    """
    for name in (*site.controls, *site.entries):
        site.start(name)
    started_s = time.monotonic()
    while await site.put(site.controls[0], manifest) != 200:
        if time.monotonic() - started_s > 12.0:
            raise deployment.CaseError("the first manifest is not acknowledged")
        await asyncio.sleep(0.2)
    for target in targets:
        target.start()

    async def is_ready() -> bool:
        answers = [
            await site.call(name, "GET", "/api/readiness", port=site.ready_port)
            for name in site.entries
        ]
        return all(answer is not None and answer[0] == 200 for answer in answers)

    await deployment.wait_for("entry VMs are ready", is_ready, 10.0, poll_s=0.2)
    # All machines are in touch after the contact window.
    await asyncio.sleep(deployment.BOUNDS["contact_window_ms"] / 1000 + 0.5)
