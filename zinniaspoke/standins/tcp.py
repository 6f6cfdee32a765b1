"""A small TCP end for stand-ins: handshake, reordering, retransmission, both FINs."""

import enum
from collections.abc import Callable

import attrs

from zinniaspoke import packets

SEGMENT_BYTES = 1000
WINDOW_BYTES = 16_000
OPEN_TIMEOUT_S = 1.0
DATA_TIMEOUT_S = 0.3
TIMEOUT_MOST_S = 2.0


class State(enum.Enum):
    """Where a connection stands."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


@attrs.frozen(kw_only=True)
class Address:
    """One end's address.

    Attributes:
        host: Packed IP number.
        port: Port, 2 bytes.
    """

    host: bytes
    port: bytes


class Connection:
    """One end of a connection.

    Attributes:
        state: Where it stands.
        received: Bytes received in order and not yet taken.
        is_finished_by_peer: Whether the peer's FIN came in order.
        was_answered: Whether the handshake completed.
    """

    def __init__(
        self,
        *,
        local: Address,
        remote: Address,
        first_sequence: int,
        transmit: Callable[[bytes], None],
    ) -> None:
        """Prepares an end.

        Args:
            local: This end.
            remote: The other end.
            first_sequence: Initial sequence number.
            transmit: Sends a packet.
        """
        self._local = local
        self._remote = remote
        self._transmit = transmit
        self._unacked = first_sequence
        self._buffer = b""
        self._sent_bytes = 0
        self._next_received = 0
        self._early: dict[int, packets.Packet] = {}
        self._fin_wanted = False
        self._fin_sent = False
        self._fin_acked = False
        self._timer_s: float | None = None
        self._timeout_s = OPEN_TIMEOUT_S
        self._is_caller = False
        self.state = State.OPENING
        self.received = bytearray()
        self.is_finished_by_peer = False
        self.was_answered = False

    def _segment(self, flags: int, sequence: int, payload: bytes = b"") -> None:
        self._transmit(
            packets.build_tcp(
                source=self._local.host,
                source_port=self._local.port,
                destination=self._remote.host,
                destination_port=self._remote.port,
                flags=flags,
                sequence=sequence,
                acknowledgment=self._next_received if flags & packets.ACK else 0,
                payload=payload,
            )
        )

    def open(self, now_s: float) -> None:
        """Sends the SYN as the caller.

        Args:
            now_s: Current time.
        """
        self._is_caller = True
        self._timer_s = now_s + self._timeout_s
        self._segment(packets.SYN, self._unacked)

    def accept(self, opening: packets.Packet, now_s: float) -> None:
        """Answers a SYN as the target.

        Args:
            opening: The SYN.
            now_s: Current time.
        """
        self._next_received = opening.next_sequence
        self._timer_s = now_s + self._timeout_s
        self._segment(packets.SYN | packets.ACK, self._unacked)

    def send(self, data: bytes, now_s: float) -> None:
        """Queues bytes and sends what the window takes.

        Args:
            data: The bytes.
            now_s: Current time.
        """
        self._buffer += data
        self._pump(now_s)

    def finish(self, now_s: float) -> None:
        """Sends a FIN after what is queued.

        Args:
            now_s: Current time.
        """
        self._fin_wanted = True
        self._pump(now_s)

    def abort(self) -> None:
        """Resets the connection."""
        self._segment(packets.RST, self._unacked + self._sent_bytes)
        self.state = State.RESET

    def _pump(self, now_s: float) -> None:
        if self.state is not State.OPEN:
            return
        while self._sent_bytes < min(len(self._buffer), WINDOW_BYTES):
            end = min(self._sent_bytes + SEGMENT_BYTES, len(self._buffer), WINDOW_BYTES)
            payload = self._buffer[self._sent_bytes : end]
            sequence = self._unacked + self._sent_bytes
            self._segment(packets.ACK | packets.PSH, sequence, payload)
            self._sent_bytes = end
            self._arm(now_s)
        if self._fin_wanted and not self._fin_sent and self._sent_bytes == len(self._buffer):
            self._segment(packets.FIN | packets.ACK, self._unacked + self._sent_bytes)
            self._fin_sent = True
            self._arm(now_s)

    def _arm(self, now_s: float) -> None:
        if self._timer_s is None:
            self._timer_s = now_s + self._timeout_s

    def poll(self, now_s: float) -> None:
        """Sends again what was not acknowledged in time.

        Args:
            now_s: Current time.
        """
        if self._timer_s is None or now_s < self._timer_s:
            return
        if self.state in (State.CLOSED, State.RESET):
            return
        self._timeout_s = min(TIMEOUT_MOST_S, 2 * self._timeout_s)
        self._timer_s = now_s + self._timeout_s
        if self.state is State.OPENING:
            flags = packets.SYN if self._is_caller else packets.SYN | packets.ACK
            self._segment(flags, self._unacked)
            return
        self._sent_bytes = 0
        self._fin_sent = False
        self._pump(now_s)

    def receive(self, packet: packets.Packet, now_s: float) -> None:
        """Takes a segment.

        Args:
            packet: The segment.
            now_s: Current time.
        """
        if packet.flags & packets.RST:
            if self.state is not State.CLOSED:
                self.state = State.RESET
            return
        if self.state is State.OPENING and not self._complete_handshake(packet, now_s):
            return
        if packet.flags & packets.SYN:
            self._segment(packets.ACK, self._unacked + self._sent_bytes)
            return
        self._take_acknowledgment(packet, now_s)
        self._take_payload(packet)
        self._pump(now_s)
        if self.is_finished_by_peer and self._fin_acked:
            self.state = State.CLOSED

    def _complete_handshake(self, packet: packets.Packet, now_s: float) -> bool:
        if packet.acknowledgment != self._unacked + 1 or not packet.flags & packets.ACK:
            if packet.is_opening and not self._is_caller:
                self._segment(packets.SYN | packets.ACK, self._unacked)
            return False
        self._unacked += 1
        self.state = State.OPEN
        self.was_answered = True
        self._timer_s = None
        self._timeout_s = DATA_TIMEOUT_S
        if self._is_caller:
            self._next_received = packet.next_sequence
            self._segment(packets.ACK, self._unacked)
        self._pump(now_s)
        return True

    def _take_acknowledgment(self, packet: packets.Packet, now_s: float) -> None:
        count = packet.acknowledgment - self._unacked
        limit = self._sent_bytes + self._fin_sent
        if not 0 < count <= max(limit, len(self._buffer) + 1):
            return
        if count == len(self._buffer) + 1 and self._fin_wanted:
            self._fin_acked = True
            count -= 1
        self._buffer = self._buffer[count:]
        self._sent_bytes = max(0, self._sent_bytes - count)
        self._unacked += count
        self._timeout_s = DATA_TIMEOUT_S
        is_idle = not self._sent_bytes and (self._fin_acked or not self._fin_sent)
        self._timer_s = None if is_idle else now_s + self._timeout_s

    def _take_payload(self, packet: packets.Packet) -> None:
        if not packet.payload_bytes and not packet.flags & packets.FIN:
            return
        if packet.sequence > self._next_received:
            self._early[packet.sequence] = packet
        elif packet.sequence == self._next_received:
            self._append(packet)
            while self._next_received in self._early:
                self._append(self._early.pop(self._next_received))
        self._segment(packets.ACK, self._unacked + self._sent_bytes + self._fin_sent)

    def _append(self, packet: packets.Packet) -> None:
        if packet.payload_bytes:
            self.received += packet.raw[len(packet.raw) - packet.payload_bytes :]
        self._next_received = packet.next_sequence
        if packet.flags & packets.FIN:
            self.is_finished_by_peer = True
