"""Paces outgoing datagrams to the link's bandwidth: urgent work first, bulk flows whole.

A link drops what exceeds its short queue, and a sender notices a loss only by its retransmission
timer. Datagrams that the link cannot carry now wait here instead. Flows take turns as in RFC 8290
(FQ-CoDel) without its early drops, since senders here do not slow down when packets are lost.
Flows of bulk rules are carried a few at a time instead; see docs/design/urgency.md.
"""

import collections
import math

import attrs

from zinniaspoke import bulk, counters, rules

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
# The largest packet with a routing token, and headers.
LARGEST_BYTES = 1242 + HEADER_BYTES
# Part of the link that bulk gets while more urgent work waits as well: it must not starve.
BULK_SHARE = 0.2
# Callers of bulk flows that are not served repeat their packets; a copy may be late itself.
BULK_WAIT_LIMIT_S = 2 * WAIT_LIMIT_S
# How often the order of bulk flows is made anew: few datagrams, so that it costs little.
ORDER_INTERVAL_S = 0.05
# Time over which the rate of short work is measured.
RATE_WINDOW_S = 1.0
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
        deadline_s: It is not sent later; None where being late does no harm.
        rule: The rule of its flow; None where that does not matter.
        ends_flow: Whether its sender sends no more payload on the flow.
        queued_s: When it was queued.
        first_queued_s: When the first copy of it was queued.
    """

    data: bytes
    endpoint: tuple[str, int]
    flow: bytes
    sequence: int | None = None
    is_opening: bool = False
    deadline_s: float | None = None
    rule: rules.Rule | None = None
    ends_flow: bool = False
    queued_s: float = 0.0
    first_queued_s: float = 0.0

    @property
    def is_bulk(self) -> bool:
        """Whether it belongs to a bulk flow; openings are sent before all others anyway."""
        return self.rule is not None and self.rule.is_bulk and not self.is_opening

    @property
    def urgency(self) -> int:
        """Urgency of its rule."""
        return rules.DEFAULT_URGENCY if self.rule is None else self.rule.urgency

    @property
    def wire_bytes(self) -> int:
        """Bytes that the link carries."""
        return len(self.data) + HEADER_BYTES

    def has_expired(self, now_s: float) -> bool:
        """Whether its sender has repeated it or given up.

        Args:
            now_s: Current time.
        """
        if self.is_opening:
            limit_s = OPENING_WAIT_LIMIT_S
        else:
            limit_s = BULK_WAIT_LIMIT_S if self.is_bulk else WAIT_LIMIT_S
        return now_s - self.queued_s > limit_s


class _FlowQueue:
    """Waiting datagrams of one flow, in order.

    Attributes:
        deficit_bytes: What the flow may still send in this turn.
        size_bytes: Sum of the waiting datagrams.
        rule: The rule of its first datagram; later ones may come under another.
        turns: Where it takes its turns; None for a bulk flow.
    """

    __slots__ = ("datagrams", "deficit_bytes", "flow", "rule", "size_bytes", "turns")

    def __init__(self, flow: bytes, rule: rules.Rule | None, turns: "_Turns | None") -> None:
        self.flow = flow
        self.rule = rule
        self.turns = turns
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


class _Turns:
    """Flows of one urgency that take turns by deficit round robin.

    A flow that starts to wait has its first turn before the flows that already wait.
    """

    __slots__ = ("_new_flows", "_old_flows")

    def __init__(self) -> None:
        self._new_flows = collections.deque[_FlowQueue]()
        self._old_flows = collections.deque[_FlowQueue]()

    def add(self, queue: _FlowQueue) -> None:
        self._new_flows.append(queue)

    def pop(self, queues: dict[bytes, _FlowQueue]) -> Datagram | None:
        """Removes the next datagram, and the emptied flows before it from all flows."""
        while flows := self._new_flows or self._old_flows:
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
                del queues[queue.flow]
        return None


class Pacer:
    """Decides when each datagram is sent; does no I/O.

    Short work goes by urgency, so a request is not delayed by what is less urgent; bulk flows use
    what is left and a guaranteed part, a few flows at a time.

    Attributes:
        queued_bytes: What waits.
        bulk_bytes: What of it belongs to bulk flows.
        bulk_flows: The bulk flows in progress.
    """

    def __init__(self, *, bytes_per_s: float, counts: counters.Counters) -> None:
        """Starts with an idle link.

        Args:
            bytes_per_s: Bandwidth of the link.
            counts: Counters for drops, replaced copies and waiting times.
        """
        self._bytes_per_s = PACED_SHARE * bytes_per_s
        self._seconds_per_byte = 1.0 / self._bytes_per_s
        self._counts = counts
        # When the link will have carried all that was sent.
        self._idle_s = -1e9
        self._openings = collections.deque[Datagram]()
        self._queues: dict[bytes, _FlowQueue] = {}
        # By urgency, sorted.
        self._turns: dict[int, _Turns] = {}
        # Queues of bulk flows in the order in which they are served.
        self._bulk_order: list[_FlowQueue] = []
        self._ordered_s = -1e9
        # What bulk may send before more urgent work.
        self._bulk_credit_bytes = 0.0
        # Bytes of short work in about the last ``RATE_WINDOW_S``.
        self._short_bytes = 0.0
        self._short_s = 0.0
        self.queued_bytes = 0
        self.bulk_bytes = 0
        self.bulk_flows = bulk.BulkFlows()

    def __bool__(self) -> bool:
        return self.queued_bytes > 0

    @property
    def delay_s(self) -> float:
        """How long the link takes for what is queued."""
        return self.queued_bytes * self._seconds_per_byte

    @property
    def next_send_s(self) -> float:
        """When the link can carry another datagram."""
        return self._idle_s - BURST_S

    def bulk_bytes_per_s(self, now_s: float) -> float:
        """Returns what the link has for bulk: what short work leaves, or the guaranteed part.

        Args:
            now_s: Current time.
        """
        decay = math.exp(min(0.0, self._short_s - now_s) / RATE_WINDOW_S)
        left = self._bytes_per_s - self._short_bytes * decay / RATE_WINDOW_S
        return max(left, BULK_SHARE * self._bytes_per_s)

    def submit(self, datagram: Datagram, now_s: float) -> bool:
        """Takes a datagram.

        Args:
            datagram: The datagram.
            now_s: Current time.

        Returns:
            Whether it is to be sent now. Otherwise ``take_due`` returns it later, or it is dropped.
        """
        if datagram.is_bulk:
            self.bulk_flows.hear(
                datagram.flow, datagram.rule, now_s, has_payload=datagram.sequence is not None
            )
        if not self.queued_bytes and now_s >= self.next_send_s:
            self._charge(datagram, now_s)
            return True
        datagram.queued_s = datagram.first_queued_s = now_s
        if datagram.is_opening:
            self._openings.append(datagram)
            self.queued_bytes += datagram.wire_bytes
        else:
            self._enqueue(datagram)
        while self.queued_bytes > QUEUE_LIMIT_BYTES:
            self._drop_least_urgent()
        return False

    def _enqueue(self, datagram: Datagram) -> None:
        queue = self._queues.get(datagram.flow)
        if queue is None:
            queue = self._add_queue(datagram)
        before_bytes = queue.size_bytes
        if queue.replace_copy(datagram):
            self._counts.events["copies_replaced"] += 1
        else:
            queue.append(datagram)
        self._note_waiting(queue, queue.size_bytes - before_bytes)

    def _add_queue(self, datagram: Datagram) -> _FlowQueue:
        """Starts a queue; a flow keeps it while it waits, even if its rule changes."""
        turns = None
        if not datagram.is_bulk:
            turns = self._turns.get(datagram.urgency)
            if turns is None:
                self._turns[datagram.urgency] = turns = _Turns()
                self._turns = dict(sorted(self._turns.items()))
        queue = self._queues[datagram.flow] = _FlowQueue(datagram.flow, datagram.rule, turns)
        if turns is None:
            self._bulk_order.append(queue)
        else:
            turns.add(queue)
        return queue

    def _note_waiting(self, queue: _FlowQueue, change_bytes: int) -> None:
        self.queued_bytes += change_bytes
        if queue.turns is None:
            self.bulk_bytes += change_bytes
            flow = self.bulk_flows.get(queue.flow)
            if flow is not None:
                flow.waiting_bytes = queue.size_bytes

    def take_due(self, now_s: float) -> list[Datagram]:
        """Returns the datagrams that the link can carry now, in order.

        Args:
            now_s: Current time.
        """
        due = []
        while self.queued_bytes and now_s >= self.next_send_s:
            datagram = self._pop_next(now_s)
            if datagram.has_expired(now_s) or self._is_given_up(datagram, now_s):
                self._counts.drops[EXPIRED] += 1
                continue
            self._counts.histograms["link_wait"].note(now_s - datagram.first_queued_s)
            self._charge(datagram, now_s)
            due.append(datagram)
        return due

    def _is_given_up(self, datagram: Datagram, now_s: float) -> bool:
        """Whether nothing came of a bulk flow since its caller's time ended."""
        flow = self.bulk_flows.get(datagram.flow) if datagram.is_bulk else None
        return flow is not None and now_s > flow.deadline_at_s

    def _charge(self, datagram: Datagram, now_s: float) -> None:
        size_bytes = datagram.wire_bytes
        self._idle_s = max(self._idle_s, now_s) + size_bytes * self._seconds_per_byte
        if datagram.is_bulk:
            self._counts.events["link_bytes_bulk"] += size_bytes
            flow = self.bulk_flows.get(datagram.flow)
            if flow is not None:
                flow.carried_bytes += size_bytes
                flow.active_s = now_s
            if datagram.ends_flow:
                self.bulk_flows.finish(datagram.flow, is_whole=True)
            return
        self._counts.events["link_bytes_short"] += size_bytes
        decay = math.exp(min(0.0, self._short_s - now_s) / RATE_WINDOW_S)
        self._short_bytes = self._short_bytes * decay + size_bytes
        self._short_s = now_s

    def _pop_next(self, now_s: float) -> Datagram:
        """Removes the next datagram: openings, then short work by urgency, then bulk."""
        if self._openings:
            datagram = self._openings.popleft()
            self.queued_bytes -= datagram.wire_bytes
            return datagram
        if not self.bulk_bytes:
            self._bulk_credit_bytes = 0.0
        elif self._bulk_credit_bytes >= LARGEST_BYTES:
            self._bulk_credit_bytes -= LARGEST_BYTES
            return self._pop_bulk(now_s)
        datagram = self._pop_short()
        if datagram is None:
            return self._pop_bulk(now_s)
        if self.bulk_bytes:
            self._bulk_credit_bytes += datagram.wire_bytes * BULK_SHARE / (1 - BULK_SHARE)
        return datagram

    def _pop_short(self) -> Datagram | None:
        if self.queued_bytes == self.bulk_bytes:
            return None
        for turns in self._turns.values():
            datagram = turns.pop(self._queues)
            if datagram is not None:
                self.queued_bytes -= datagram.wire_bytes
                return datagram
        return None

    def _pop_bulk(self, now_s: float) -> Datagram:
        if now_s - self._ordered_s >= ORDER_INTERVAL_S:
            self._order_bulk(now_s)
        while not self._bulk_order[0].datagrams:
            del self._queues[self._bulk_order.pop(0).flow]
        queue = self._bulk_order[0]
        datagram = queue.pop_first()
        self._note_waiting(queue, -datagram.wire_bytes)
        return datagram

    def _order_bulk(self, now_s: float) -> None:
        self._ordered_s = now_s
        self.bulk_flows.remove_idle(now_s)
        waiting = []
        for queue in self._bulk_order:
            if queue.datagrams:
                flow = self.bulk_flows.find(queue.flow, queue.rule, now_s)
                flow.waiting_bytes = queue.size_bytes
                waiting.append(flow)
            else:
                del self._queues[queue.flow]
        rate = self.bulk_bytes_per_s(now_s)
        ordered = self.bulk_flows.order(waiting, rate, now_s)
        self._bulk_order = [self._queues[flow.key] for flow in ordered]

    def _drop_least_urgent(self) -> None:
        """Drops a datagram of the bulk flow served last, else of the flow with most bytes.

        Openings are dropped only if nothing else waits.
        """
        queue = next((q for q in reversed(self._bulk_order) if q.datagrams), None)
        if queue is None:
            queue = max(self._queues.values(), key=lambda q: q.size_bytes, default=None)
        if queue is not None and queue.datagrams:
            dropped = queue.pop_first()
            self._note_waiting(queue, -dropped.wire_bytes)
        else:
            self.queued_bytes -= self._openings.popleft().wire_bytes
        self._counts.drops[QUEUE_FULL] += 1

    def cancel(self, flow: bytes) -> None:
        """Discards the waiting datagrams of a flow that its caller has reset.

        Args:
            flow: The flow's key.
        """
        queue = self._queues.get(flow)
        if queue is not None and queue.datagrams:
            size_bytes = queue.size_bytes
            self._counts.drops["reset_by_caller"] += len(queue.datagrams)
            queue.datagrams.clear()
            queue.size_bytes = 0
            self._note_waiting(queue, -size_bytes)
        self.bulk_flows.finish(flow, is_whole=False)
        if any(d.flow == flow for d in self._openings):
            kept = [d for d in self._openings if d.flow != flow]
            self.queued_bytes -= sum(d.wire_bytes for d in self._openings if d.flow == flow)
            self._openings = collections.deque(kept)
