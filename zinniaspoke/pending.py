"""The placer's queue of openings that wait for a free slot; short work goes first."""

from collections import deque

import attrs

from zinniaspoke import packets, rules

QUEUE_LIMIT = 512
LONG_OVERDUE_SHARE = 0.5
SMOOTHING_GAIN = 0.05
IDLE_SHARE_LIMIT = 0.5


@attrs.define(kw_only=True, slots=True)
class PendingOpening:
    """An opening that waits for a slot.

    Attributes:
        packet: The opening packet, as the caller retransmitted it last.
        rule: The rule that the packet matched.
        home_id: The flow's home.
        since_s: Time at which the opening first arrived.
    """

    packet: packets.Packet
    rule: rules.Rule
    home_id: int
    since_s: float

    @property
    def deadline_s(self) -> float:
        """Time at which the opening is refused if no slot became free."""
        return self.since_s + self.rule.wait_s


class PendingQueue:
    """The pending openings of one service, in two FIFO queues: short and long work."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._short: deque[PendingOpening] = deque()
        self._long: deque[PendingOpening] = deque()
        self._by_flow: dict[bytes, PendingOpening] = {}
        self._mean_duration_s = 0.0
        self._mean_answer_s = 0.0

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def observe_duration(self, elapsed_s: float) -> None:
        """Adds the duration of a flow to the moving average that estimates waiting times.

        Args:
            elapsed_s: Time from the opening to the end of the flow.
        """
        self._mean_duration_s += SMOOTHING_GAIN * (elapsed_s - self._mean_duration_s)

    def observe_answer_time(self, elapsed_s: float) -> None:
        """Adds a target's answer time to its moving average.

        Args:
            elapsed_s: Time from the opening to the first answer.
        """
        self._mean_answer_s += SMOOTHING_GAIN * (elapsed_s - self._mean_answer_s)

    def idle_share(self, caller_round_trip_s: float) -> float:
        """Estimates the share of a flow's duration in which it occupies no slot.

        Args:
            caller_round_trip_s: Round-trip time between an entry VM and the callers.

        Returns:
            The share of handshake and close in the mean duration of flows.
        """
        if self._mean_duration_s <= 0.0:
            return 0.0
        overhead_s = 2 * (self._mean_answer_s + caller_round_trip_s)
        return min(IDLE_SHARE_LIMIT, overhead_s / self._mean_duration_s)

    def accepts(self, rule: rules.Rule, slot_count: int) -> bool:
        """Returns whether another opening is likely to get a slot before its deadline.

        Args:
            rule: The rule of the opening.
            slot_count: Total number of slots of the service's targets.

        Returns:
            False if the queue is full or the expected wait exceeds the rule's limit.
        """
        if len(self) >= QUEUE_LIMIT:
            return False
        ahead = len(self) if rule.is_long else len(self._short)
        return ahead * self._mean_duration_s / max(1, slot_count) <= rule.wait_s

    def update_packet(self, flow: bytes, packet: packets.Packet) -> None:
        """Replaces the packet of a pending opening by its retransmission.

        Args:
            flow: The flow's key; its opening must be pending.
            packet: The retransmitted opening.
        """
        self._by_flow[flow].packet = packet

    def push(self, waiting: PendingOpening) -> None:
        """Appends an opening to the queue of its class.

        Args:
            waiting: The opening.
        """
        self._by_flow[waiting.packet.caller_flow] = waiting
        (self._long if waiting.rule.is_long else self._short).append(waiting)

    def heads(self, now_s: float) -> list[PendingOpening]:
        """Returns the openings that may be assigned next, in order of preference.

        Args:
            now_s: Current time.

        Returns:
            The oldest opening of each class: short before long, unless the long one is overdue.
        """
        found = [queue[0] for queue in (self._short, self._long) if queue]
        if self.is_long_overdue(now_s):
            found.reverse()
        return found

    def is_long_overdue(self, now_s: float) -> bool:
        """Returns whether the oldest opening of long work goes before short work.

        It does once it has waited for ``LONG_OVERDUE_SHARE`` of its maximum wait, so that short
        work cannot starve it.

        Args:
            now_s: Current time.
        """
        if not self._long:
            return False
        oldest = self._long[0]
        return now_s - oldest.since_s > LONG_OVERDUE_SHARE * oldest.rule.wait_s

    def remove(self, waiting: PendingOpening) -> None:
        """Removes an opening.

        Args:
            waiting: The opening; it must be pending.
        """
        (self._long if waiting.rule.is_long else self._short).remove(waiting)
        del self._by_flow[waiting.packet.caller_flow]

    def cancel(self, flow: bytes) -> bool:
        """Removes the opening of a flow whose caller has reset it.

        Args:
            flow: The flow's key.

        Returns:
            Whether the opening was pending.
        """
        waiting = self._by_flow.get(flow)
        if waiting is None:
            return False
        self.remove(waiting)
        return True

    def expire(self, now_s: float) -> list[PendingOpening]:
        """Removes the openings whose deadline has passed.

        Args:
            now_s: Current time.

        Returns:
            The removed openings, which have to be refused.
        """
        expired = [w for w in self._by_flow.values() if w.deadline_s <= now_s]
        for waiting in expired:
            self.remove(waiting)
        return expired
