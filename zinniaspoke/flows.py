"""Flows: the home's records and the witnesses that relays note in passing."""

import enum
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from zinniaspoke import errors, packets, targets

WITNESS_IDLE_S = 900.0
CLOSED_LINGER_S = 5.0
SEQUENCE_WINDOW_BYTES = 1 << 24
RUNNING_GAP_S = 0.2


class Stage(enum.IntEnum):
    """How far a flow has come."""

    ANSWERED = 1
    ESTABLISHED = 2
    CLOSING = 3
    CLOSED = 4


@attrs.define(kw_only=True, slots=True)
class Flow:
    """The record that a flow's home holds.

    Attributes:
        key: Protocol, caller address and port, service address and port.
        target: Where the flow's packets go.
        is_long: Whether the work is known to run long.
        stage: How far the flow has come.
        opened_s: When the record was made.
        requested_s: When the caller first asked, or negative once its first answer was noted.
        seen_s: When a packet of the flow last passed.
        payload_forwarded: Whether any payload byte went to the target.
        caller_sequence: The next sequence number that the caller will use.
        caller_acknowledgment: The caller's last acknowledgment number.
        awaits_answer: Whether payload was sent and no answer acknowledged since.
        caller_finished: Whether the caller's FIN passed.
        target_finished: Whether the target's FIN passed.
        is_adopted: Whether the record was recovered rather than opened here.
        witness_incarnation_ids: Incarnations of entry VMs that know the flow's target too.
        retransmit_count: Times in a row that the caller sent the same segment.
        first_retransmit_s: When the first of these was sent.
        is_counted: Whether the table counts it as open.
    """

    key: bytes
    target: targets.Target
    is_long: bool = False
    stage: Stage = Stage.ANSWERED
    opened_s: float = 0.0
    requested_s: float = -1.0
    seen_s: float = 0.0
    payload_forwarded: bool = False
    caller_sequence: int = 0
    caller_acknowledgment: int = 0
    awaits_answer: bool = False
    caller_finished: bool = False
    target_finished: bool = False
    is_adopted: bool = False
    witness_incarnation_ids: tuple[int, ...] = ()
    retransmit_count: int = 0
    first_retransmit_s: float = 0.0
    is_counted: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the target has finished its answer or either end has reset the flow."""
        return self.target_finished or self.stage is Stage.CLOSED

    @property
    def is_closed(self) -> bool:
        """Whether both directions have ended."""
        return self.stage is Stage.CLOSED

    def is_running(self, now_s: float) -> bool:
        """Tells whether work is under way, as far as the caller's packets show.

        Args:
            now_s: Current time.

        Returns:
            True while payload is unanswered or packets passed a moment ago.
        """
        if self.has_ended:
            return False
        return self.awaits_answer or now_s - self.seen_s < RUNNING_GAP_S

    def observe_caller_packet(self, packet: packets.Packet, now_s: float) -> None:
        """Updates the record from a packet that goes to the target.

        Args:
            packet: The caller's packet.
            now_s: Current time.
        """
        self.seen_s = now_s
        if packet.protocol == packets.UDP:
            self.payload_forwarded = True
            return
        if packet.flags & packets.RST:
            self.stage = Stage.CLOSED
            return
        self._note_progress(packet, now_s)
        self.caller_sequence = packet.next_sequence
        self.caller_acknowledgment = packet.acknowledgment
        if packet.payload_bytes:
            self.payload_forwarded = True
        if packet.flags & packets.FIN:
            self.caller_finished = True
            self._note_finish()
        elif self.stage is Stage.ANSWERED and not packet.flags & packets.SYN:
            self.stage = Stage.ESTABLISHED

    def _note_progress(self, packet: packets.Packet, now_s: float) -> None:
        moved = packet.acknowledgment != self.caller_acknowledgment
        repeated = packet.payload_bytes and packet.next_sequence == self.caller_sequence
        if moved or not repeated:
            self.retransmit_count = 0
        else:
            self.retransmit_count += 1
            if self.retransmit_count == 1:
                self.first_retransmit_s = now_s
        if packet.payload_bytes:
            self.awaits_answer = True
        elif moved:
            self.awaits_answer = False

    def observe_target_packet(self, packet: packets.Packet, now_s: float) -> None:
        """Updates the record from a packet that goes to the caller.

        Args:
            packet: The target's packet.
            now_s: Current time.
        """
        self.seen_s = now_s
        if packet.flags & packets.RST:
            self.stage = Stage.CLOSED
        elif packet.flags & packets.FIN:
            self.target_finished = True
            self._note_finish()

    def _note_finish(self) -> None:
        both = self.caller_finished and self.target_finished
        self.stage = Stage.CLOSED if both else Stage.CLOSING


@attrs.define(kw_only=True, slots=True)
class FlowCounts:
    """Open flows of one target in one table.

    Attributes:
        short_count: Open flows of short work.
        long_count: Open flows of long work.
    """

    short_count: int = 0
    long_count: int = 0


class FlowTable:
    """The bounded table of records for which this entry VM is home."""

    def __init__(self, *, limit: int) -> None:
        """Starts empty.

        Args:
            limit: Most records that the table holds.
        """
        self._limit = limit
        self._flows: dict[bytes, Flow] = {}
        self.counts: dict[int, FlowCounts] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[Flow]:
        return iter(self._flows.values())

    @property
    def is_full(self) -> bool:
        """Whether no more records fit."""
        return len(self._flows) >= self._limit

    def keys(self) -> list[bytes]:
        """Returns a copy of the keys, for work in slices."""
        return list(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Finds a record.

        Args:
            key: The flow's key.

        Returns:
            The record, or None.
        """
        return self._flows.get(key)

    def add(self, flow: Flow) -> None:
        """Adds or replaces a record.

        Args:
            flow: The record. The caller checks ``is_full`` for new work; adopted flows may pass
                the limit by what a failed sibling held.
        """
        self.discard(flow.key)
        self._flows[flow.key] = flow
        if not flow.has_ended:
            self._count(flow, 1)

    def discard(self, key: bytes) -> None:
        """Drops a record, if there is one.

        Args:
            key: The flow's key.
        """
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._uncount(flow)

    def uncount_if_ended(self, flow: Flow) -> None:
        """Stops counting a record whose work has ended; call after noting a packet.

        Args:
            flow: A record of this table.
        """
        if flow.has_ended:
            self._uncount(flow)

    def _uncount(self, flow: Flow) -> None:
        if flow.is_counted:
            self._count(flow, -1)

    def mark_long(self, flow: Flow) -> None:
        """Counts a record's work as long from now on.

        Args:
            flow: A record of this table.
        """
        was_counted = flow.is_counted
        self._uncount(flow)
        flow.is_long = True
        if was_counted:
            self._count(flow, 1)

    def _count(self, flow: Flow, step: int) -> None:
        flow.is_counted = step > 0
        count = self.counts.setdefault(flow.target.tag, FlowCounts())
        if flow.is_long:
            count.long_count += step
        else:
            count.short_count += step


@attrs.define(kw_only=True, slots=True)
class Witness:
    """What a relay noted of a flow in passing.

    Attributes:
        target: Where the flow's answers come from.
        sequence: Sequence number after the last answer seen; 0 for UDP.
        seen_s: When it was seen.
    """

    target: targets.Target
    sequence: int
    seen_s: float

    def matches(self, packet: packets.Packet) -> bool:
        """Tells whether a caller's packet belongs to the connection that was seen.

        Args:
            packet: A packet from the caller.

        Returns:
            True for UDP, and for TCP where its acknowledgment is near what was seen, so that a
            used 5-tuple does not lead to the earlier connection's target.
        """
        if packet.protocol == packets.UDP:
            return True
        if not packet.flags & packets.ACK:
            return bool(packet.flags & packets.RST)
        distance = (packet.acknowledgment - self.sequence) & packets.SEQUENCE_MASK
        return min(distance, packets.SEQUENCE_MASK - distance) < SEQUENCE_WINDOW_BYTES


class WitnessTable:
    """A bounded, ageing table of witnesses; the least recently noted go first."""

    def __init__(self, *, limit: int) -> None:
        """Starts empty.

        Args:
            limit: Most witnesses that are kept.
        """
        self._limit = limit
        self._witnesses: OrderedDict[bytes, Witness] = OrderedDict()

    def __len__(self) -> int:
        return len(self._witnesses)

    def observe(
        self, key: bytes, target: targets.Target, packet: packets.Packet, now_s: float
    ) -> None:
        """Notes a flow's target from one of its answers.

        Args:
            key: The flow's key.
            target: Where the answer came from.
            packet: The answer.
            now_s: Current time.
        """
        self.put(key, target, packet.next_sequence if packet.protocol == packets.TCP else 0, now_s)

    def put(self, key: bytes, target: targets.Target, sequence: int, now_s: float) -> None:
        """Notes a flow's target.

        Args:
            key: The flow's key.
            target: The flow's target.
            sequence: Sequence number that the target will use next; 0 for UDP.
            now_s: Current time.
        """
        witness = self._witnesses.get(key)
        if witness is None:
            if len(self._witnesses) >= self._limit:
                self._witnesses.popitem(last=False)
            self._witnesses[key] = Witness(target=target, sequence=sequence, seen_s=now_s)
            return
        witness.target = target
        witness.sequence = sequence
        witness.seen_s = now_s
        self._witnesses.move_to_end(key)

    def get(self, key: bytes, now_s: float) -> Witness | errors.Nothing:
        """Finds a witness that is not too old.

        Args:
            key: The flow's key.
            now_s: Current time.

        Returns:
            The witness, or the reason why there is none.
        """
        witness = self._witnesses.get(key)
        if witness is None:
            return errors.Nothing(reason="no_witness")
        if now_s - witness.seen_s > WITNESS_IDLE_S:
            return errors.Nothing(reason="old_witness")
        return witness

    def discard(self, key: bytes) -> None:
        """Drops a witness, if there is one.

        Args:
            key: The flow's key.
        """
        self._witnesses.pop(key, None)

    def expire(self, now_s: float, slice_count: int) -> int:
        """Drops some of those that are too old, the oldest first.

        Args:
            now_s: Current time.
            slice_count: Most witnesses to drop in this call.

        Returns:
            How many were dropped.
        """
        dropped = 0
        while dropped < slice_count and self._witnesses:
            oldest = next(iter(self._witnesses.values()))
            if now_s - oldest.seen_s <= WITNESS_IDLE_S:
                break
            self._witnesses.popitem(last=False)
            dropped += 1
        return dropped
