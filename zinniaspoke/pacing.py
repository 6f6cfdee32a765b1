"""Paces outgoing datagrams to the link's bandwidth, with fair queueing by flow.

A link drops what exceeds its short queue, and a sender notices a loss only by its retransmission
timer. Datagrams that the link cannot carry now wait here instead. Flows take turns as in RFC 8290
(FQ-CoDel) without its early drops, since senders here do not slow down when packets are lost.
"""

import collections

import attrs

from zinniaspoke import counters

# Share of the bandwidth for callers' packets; the rest is for control connections, probes and
# metrics, which the kernel sends on the same link.
PACED_SHARE = 0.92
# How far sending may run ahead of the paced rate: a link's own queue is a few packets long.
BURST_S = 0.006
# IPv4 and UDP headers, which the link carries too.
HEADER_BYTES = 28
# Bytes that a flow may send in one turn; less than the largest datagram, so that none sends two.
QUANTUM_BYTES = 650
# A caller repeats an opening after 0.2 s, and the copy takes its place.
OPENING_WAIT_LIMIT_S = 0.2
# The longest retransmission interval of callers: a packet that was not sent again by then has a
# caller that gave up.
WAIT_LIMIT_S = 1.6
# Two seconds of a link of 2 Mbit/s.
QUEUE_LIMIT_BYTES = 512 * 1024
EXPIRED = "waited_too_long_for_link"
QUEUE_FULL = "link_queue_full"
# Drops that show that the link is too narrow.
DROP_REASONS = (EXPIRED, QUEUE_FULL)


@attrs.define(kw_only=True, slots=True, eq=False)
class Datagram:
    """A datagram to be sent.

    Attributes:
        data: Its bytes.
        endpoint: IP address and UDP port.
        flow: Key of its flow.
        sequence: Position of its payload in the flow; None where a copy must not replace it.
        is_opening: Whether it opens a flow or refuses to; sent before all others.
        queued_s: When it was queued.
        first_queued_s: When the first copy of it was queued.
    """

    data: bytes
    endpoint: tuple[str, int]
    flow: bytes
    sequence: int | None = None
    is_opening: bool = False
    queued_s: float = 0.0
    first_queued_s: float = 0.0

    @property
    def wire_bytes(self) -> int:
        """Bytes that the link carries."""
        return len(self.data) + HEADER_BYTES

    def has_expired(self, now_s: float) -> bool:
        """Whether its sender has repeated it or given up.

        Args:
            now_s: Current time.
        """
        limit_s = OPENING_WAIT_LIMIT_S if self.is_opening else WAIT_LIMIT_S
        return now_s - self.queued_s > limit_s


class _FlowQueue:
    """Waiting datagrams of one flow, in order.

    Attributes:
        deficit_bytes: What the flow may still send in this turn.
        size_bytes: Sum of the waiting datagrams.
    """

    __slots__ = ("datagrams", "deficit_bytes", "flow", "size_bytes")

    def __init__(self, flow: bytes) -> None:
        self.flow = flow
        self.datagrams = collections.deque[Datagram]()
        self.deficit_bytes = QUANTUM_BYTES
        self.size_bytes = 0

    def append(self, datagram: Datagram) -> None:
        self.datagrams.append(datagram)
        self.size_bytes += datagram.wire_bytes

    def pop_first(self) -> Datagram:
        datagram = self.datagrams.popleft()
        self.size_bytes -= datagram.wire_bytes
        return datagram

    def replace_copy(self, datagram: Datagram) -> bool:
        """Puts a retransmission in the place of a waiting copy, if there is one."""
        if datagram.sequence is None:
            return False
        for index, waiting in enumerate(self.datagrams):
            if waiting.sequence == datagram.sequence:
                datagram.first_queued_s = waiting.first_queued_s
                self.size_bytes += datagram.wire_bytes - waiting.wire_bytes
                self.datagrams[index] = datagram
                return True
        return False


class Pacer:
    """Decides when each datagram is sent; does no I/O.

    A flow that starts to wait has its first turn before the flows that already wait, so a short
    request is not delayed by uploads.
    """

    def __init__(self, *, bytes_per_s: float, counts: counters.Counters) -> None:
        """Starts with an idle link.

        Args:
            bytes_per_s: Bandwidth of the link.
            counts: Counters for drops, replaced copies and waiting times.
        """
        self._seconds_per_byte = 1.0 / (PACED_SHARE * bytes_per_s)
        self._counts = counts
        # When the link will have carried all that was sent.
        self._idle_s = -1e9
        self._openings = collections.deque[Datagram]()
        self._queues: dict[bytes, _FlowQueue] = {}
        self._new_flows = collections.deque[_FlowQueue]()
        self._old_flows = collections.deque[_FlowQueue]()
        self.queued_bytes = 0

    def __bool__(self) -> bool:
        return self.queued_bytes > 0

    @property
    def next_send_s(self) -> float:
        """When the link can carry another datagram."""
        return self._idle_s - BURST_S

    @property
    def delay_s(self) -> float:
        """How long the link takes for what is queued."""
        return self.queued_bytes * self._seconds_per_byte

    def submit(self, datagram: Datagram, now_s: float) -> bool:
        """Takes a datagram.

        Args:
            datagram: The datagram.
            now_s: Current time.

        Returns:
            Whether it is to be sent now. Otherwise ``take_due`` returns it later, or it is dropped.
        """
        if not self.queued_bytes and now_s >= self.next_send_s:
            self._charge(datagram, now_s)
            return True
        datagram.queued_s = datagram.first_queued_s = now_s
        if datagram.is_opening:
            self._openings.append(datagram)
            self.queued_bytes += datagram.wire_bytes
        else:
            self._enqueue(datagram)
        if self.queued_bytes > QUEUE_LIMIT_BYTES:
            self._drop_from_longest()
        return False

    def _enqueue(self, datagram: Datagram) -> None:
        queue = self._queues.get(datagram.flow)
        if queue is None:
            queue = self._queues[datagram.flow] = _FlowQueue(datagram.flow)
            self._new_flows.append(queue)
        before_bytes = queue.size_bytes
        if queue.replace_copy(datagram):
            self._counts.events["copies_replaced"] += 1
        else:
            queue.append(datagram)
        self.queued_bytes += queue.size_bytes - before_bytes

    def take_due(self, now_s: float) -> list[Datagram]:
        """Returns the datagrams that the link can carry now, in order.

        Args:
            now_s: Current time.
        """
        due = []
        while self.queued_bytes and now_s >= self.next_send_s:
            datagram = self._pop_next()
            self.queued_bytes -= datagram.wire_bytes
            if datagram.has_expired(now_s):
                self._counts.drops[EXPIRED] += 1
                continue
            self._counts.histograms["link_wait"].note(now_s - datagram.first_queued_s)
            self._charge(datagram, now_s)
            due.append(datagram)
        return due

    def _charge(self, datagram: Datagram, now_s: float) -> None:
        self._idle_s = max(self._idle_s, now_s) + datagram.wire_bytes * self._seconds_per_byte

    def _pop_next(self) -> Datagram:
        """Removes the next datagram: openings first, then flows by deficit round robin."""
        if self._openings:
            return self._openings.popleft()
        while True:
            flows = self._new_flows or self._old_flows
            queue = flows[0]
            if queue.datagrams and queue.deficit_bytes > 0:
                datagram = queue.pop_first()
                queue.deficit_bytes -= datagram.wire_bytes
                return datagram
            flows.popleft()
            if queue.datagrams or flows is self._new_flows:
                # An emptied new flow also waits for one round, or it would be new at once again.
                queue.deficit_bytes = min(queue.deficit_bytes, 0) + QUANTUM_BYTES
                self._old_flows.append(queue)
            else:
                del self._queues[queue.flow]

    def _drop_from_longest(self) -> None:
        """Drops the oldest datagram of the flow with most bytes; openings only if none waits."""
        longest = max(self._queues.values(), key=lambda q: q.size_bytes, default=None)
        if longest is not None and longest.datagrams:
            dropped = longest.pop_first()
        else:
            dropped = self._openings.popleft()
        self.queued_bytes -= dropped.wire_bytes
        self._counts.drops[QUEUE_FULL] += 1

    def cancel(self, flow: bytes) -> None:
        """Discards the waiting datagrams of a flow that its caller has reset.

        Args:
            flow: The flow's key.
        """
        queue = self._queues.get(flow)
        if queue is not None and queue.datagrams:
            self.queued_bytes -= queue.size_bytes
            self._counts.drops["reset_by_caller"] += len(queue.datagrams)
            queue.datagrams.clear()
            queue.size_bytes = 0
        if any(d.flow == flow for d in self._openings):
            kept = [d for d in self._openings if d.flow != flow]
            self.queued_bytes -= sum(d.wire_bytes for d in self._openings if d.flow == flow)
            self._openings = collections.deque(kept)
