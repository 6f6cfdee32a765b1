"""Flow tables: records of flows and witnesses of flows.

Each flow has one home, the entry VM that holds the flow's record. Other entry VMs may hold a
witness, which gives the flow's target and a sequence number. A new home that does not have the
flow's record recovers the target from a witness.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from zinniaspoke import errors, packets, targets

WITNESS_TTL_S = 900.0
CLOSED_RETENTION_S = 5.0
SEQUENCE_WINDOW_BYTES = 1 << 24
ACTIVE_GAP_S = 0.2


class Stage(enum.IntEnum):
    """State of a flow as its home observes it.

    Attributes:
        ANSWERED: The target has answered the opening packet.
        ESTABLISHED: The caller has sent a packet after its SYN, or the record was recovered.
        CLOSING: One end has sent a FIN.
        CLOSED: Both ends have sent a FIN, or one has sent a reset.
    """

    ANSWERED = 1
    ESTABLISHED = 2
    CLOSING = 3
    CLOSED = 4


@attrs.define(kw_only=True, slots=True)
class Flow:
    """The record of a flow, held by its home.

    Attributes:
        key: Protocol, caller address and port, service address and port.
        target: Target that receives the caller's packets.
        is_long: Whether the flow counts as long work.
        stage: State of the flow.
        opened_s: When the record was created.
        requested_s: When the caller sent its opening packet; negative in a recovered record, and
            once the time to the first answer has been recorded.
        seen_s: When the last packet of the flow was observed.
        payload_forwarded: Whether any payload was forwarded to the target.
        caller_sequence: Next sequence number that the caller will use.
        caller_acknowledgment: Last acknowledgment number from the caller.
        awaits_answer: Whether the caller sent payload and has acknowledged no answer to it yet.
        caller_finished: Whether the caller sent a FIN.
        target_finished: Whether the target sent a FIN.
        is_recovered: Whether the record was recovered rather than created by the first answer.
        witness_incarnation_ids: Incarnation ids of other entry VMs that know the flow's target.
        retransmit_count: Consecutive retransmissions of one segment by the caller.
        first_retransmit_s: When the first of these retransmissions was seen.
        is_counted: Whether the flow is included in the table's counts.
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
    is_recovered: bool = False
    witness_incarnation_ids: tuple[int, ...] = ()
    retransmit_count: int = 0
    first_retransmit_s: float = 0.0
    is_counted: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the target has sent a FIN, or the flow is closed."""
        return self.target_finished or self.stage is Stage.CLOSED

    @property
    def is_closed(self) -> bool:
        """Whether both ends have sent a FIN or either end has reset the flow."""
        return self.stage is Stage.CLOSED

    def is_active(self, now_s: float) -> bool:
        """Tells whether a request is in progress, judged by the packets seen.

        Args:
            now_s: Current time.

        Returns:
            True while the caller's payload is unanswered, or if the last packet was seen less than
            ACTIVE_GAP_S ago; always False for a flow that has ended.
        """
        if self.has_ended:
            return False
        return self.awaits_answer or now_s - self.seen_s < ACTIVE_GAP_S

    def observe_caller_packet(self, packet: packets.Packet, now_s: float) -> None:
        """Updates the record from a packet that is forwarded to the target.

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
        self._observe_progress(packet, now_s)
        self.caller_sequence = packet.next_sequence
        self.caller_acknowledgment = packet.acknowledgment
        if packet.payload_bytes:
            self.payload_forwarded = True
        if packet.flags & packets.FIN:
            self.caller_finished = True
            self._update_stage_on_fin()
        elif self.stage is Stage.ANSWERED and not packet.flags & packets.SYN:
            self.stage = Stage.ESTABLISHED

    def _observe_progress(self, packet: packets.Packet, now_s: float) -> None:
        acknowledged = packet.acknowledgment != self.caller_acknowledgment
        repeated = packet.payload_bytes and packet.next_sequence == self.caller_sequence
        if acknowledged or not repeated:
            self.retransmit_count = 0
        else:
            self.retransmit_count += 1
            if self.retransmit_count == 1:
                self.first_retransmit_s = now_s
        if packet.payload_bytes:
            self.awaits_answer = True
        elif acknowledged:
            self.awaits_answer = False

    def observe_target_packet(self, packet: packets.Packet, now_s: float) -> None:
        """Updates the record from a packet that is forwarded to the caller.

        Args:
            packet: The target's packet.
            now_s: Current time.
        """
        self.seen_s = now_s
        if packet.flags & packets.RST:
            self.stage = Stage.CLOSED
        elif packet.flags & packets.FIN:
            self.target_finished = True
            self._update_stage_on_fin()

    def _update_stage_on_fin(self) -> None:
        both = self.caller_finished and self.target_finished
        self.stage = Stage.CLOSED if both else Stage.CLOSING


@attrs.define(kw_only=True, slots=True)
class FlowCounts:
    """Numbers of one target's flows, by class of work.

    Attributes:
        short_count: Flows of short work.
        long_count: Flows of long work.
    """

    short_count: int = 0
    long_count: int = 0


class FlowTable:
    """Bounded table of the flow records for which this entry VM is home.

    Attributes:
        counts: Numbers of flows that have not ended, by target tag.
    """

    def __init__(self, *, limit: int) -> None:
        """Creates an empty table.

        Args:
            limit: Number of records at which the table is full. ``add`` does not enforce it.
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
        """Whether the limit is reached."""
        return len(self._flows) >= self._limit

    def keys(self) -> list[bytes]:
        """Returns a copy of the keys, for iteration while the table changes."""
        return list(self._flows)

    def get(self, key: bytes) -> Flow | None:
        """Looks up a record.

        Args:
            key: The flow's key.

        Returns:
            The record, or None if there is none.
        """
        return self._flows.get(key)

    def add(self, flow: Flow) -> None:
        """Adds or replaces a record.

        Args:
            flow: The record. Before it adds a new flow, the calling code checks ``is_full``.
                Recovered flows are added without this check, so that the table may exceed its
                limit by the number of records that a failed sibling held.
        """
        self.discard(flow.key)
        self._flows[flow.key] = flow
        if not flow.has_ended:
            self._count(flow, 1)

    def discard(self, key: bytes) -> None:
        """Removes a record if present.

        Args:
            key: The flow's key.
        """
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._uncount(flow)

    def uncount_if_ended(self, flow: Flow) -> None:
        """Removes a flow from the counts once it has ended.

        Must be called after each packet of the flow that was observed.

        Args:
            flow: A record of this table.
        """
        if flow.has_ended:
            self._uncount(flow)

    def _uncount(self, flow: Flow) -> None:
        if flow.is_counted:
            self._count(flow, -1)

    def mark_long(self, flow: Flow) -> None:
        """Moves a flow from short to long work, in its record and in the counts.

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
    """A flow's target, as known to an entry VM that is not the flow's home.

    It comes from an answer that this VM forwarded, from a copy sent by the home, or from the record
    that this VM held while it was the home.

    Attributes:
        target: The flow's target.
        sequence: Sequence number that the target uses next, as last seen; 0 for UDP.
        seen_s: When the witness was last updated.
    """

    target: targets.Target
    sequence: int
    seen_s: float

    def matches(self, packet: packets.Packet) -> bool:
        """Tells whether a caller's packet belongs to the witnessed connection.

        The check keeps a new connection that reuses the 5-tuple from being sent to the earlier
        connection's target.

        Args:
            packet: A packet from the caller.

        Returns:
            True for UDP, for TCP if the acknowledgment number is within SEQUENCE_WINDOW_BYTES of
            the witnessed sequence number, and for a TCP reset without acknowledgment.
        """
        if packet.protocol == packets.UDP:
            return True
        if not packet.flags & packets.ACK:
            return bool(packet.flags & packets.RST)
        distance = (packet.acknowledgment - self.sequence) & packets.SEQUENCE_MASK
        return min(distance, packets.SEQUENCE_MASK - distance) < SEQUENCE_WINDOW_BYTES


class WitnessTable:
    """Bounded table of witnesses in the order of their last updates.

    A new witness in a full table evicts the least recently updated one. Witnesses expire
    WITNESS_TTL_S after their last update.
    """

    def __init__(self, *, limit: int) -> None:
        """Creates an empty table.

        Args:
            limit: Maximum number of witnesses.
        """
        self._limit = limit
        self._witnesses: OrderedDict[bytes, Witness] = OrderedDict()

    def __len__(self) -> int:
        return len(self._witnesses)

    def observe(
        self, key: bytes, target: targets.Target, packet: packets.Packet, now_s: float
    ) -> None:
        """Records a flow's target from one of its answers.

        Args:
            key: The flow's key.
            target: Target that sent the answer.
            packet: The answer.
            now_s: Current time.
        """
        self.put(key, target, packet.next_sequence if packet.protocol == packets.TCP else 0, now_s)

    def put(self, key: bytes, target: targets.Target, sequence: int, now_s: float) -> None:
        """Adds or updates a witness.

        Args:
            key: The flow's key.
            target: The flow's target.
            sequence: Sequence number that the target uses next; 0 for UDP.
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
        """Looks up a witness that has not expired.

        Args:
            key: The flow's key.
            now_s: Current time.

        Returns:
            The witness, or the reason why there is none: it is unknown or has expired.
        """
        witness = self._witnesses.get(key)
        if witness is None:
            return errors.Nothing(reason="no_witness")
        if now_s - witness.seen_s > WITNESS_TTL_S:
            return errors.Nothing(reason="old_witness")
        return witness

    def discard(self, key: bytes) -> None:
        """Removes a witness if present.

        Args:
            key: The flow's key.
        """
        self._witnesses.pop(key, None)

    def expire(self, now_s: float, limit: int) -> int:
        """Removes expired witnesses, the least recently updated first.

        Args:
            now_s: Current time.
            limit: Maximum number of witnesses to remove in this call.

        Returns:
            Number of witnesses removed.
        """
        removed = 0
        while removed < limit and self._witnesses:
            oldest = next(iter(self._witnesses.values()))
            if now_s - oldest.seen_s <= WITNESS_TTL_S:
                break
            self._witnesses.popitem(last=False)
            removed += 1
        return removed
