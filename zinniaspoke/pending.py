"""Openings that wait at the placer for a free slot, short work first."""

from collections import deque

import attrs

from zinniaspoke import packets, rules

QUEUE_LIMIT = 512
LONG_PATIENCE_SHARE = 0.5
WORK_GAIN = 0.05
IDLE_SHARE_LIMIT = 0.5


@attrs.define(kw_only=True, slots=True)
class PendingOpening:
    """An opening that waits.

    Attributes:
        packet: The opening packet, the newest that the caller sent.
        rule: The rule that it matched.
        home_id: The flow's home.
        since_s: When it first came.
    """

    packet: packets.Packet
    rule: rules.Rule
    home_id: int
    since_s: float

    @property
    def deadline_s(self) -> float:
        """When it is refused if no slot came free."""
        return self.since_s + self.rule.wait_s


class PendingQueue:
    """The waiting openings of one service."""

    def __init__(self) -> None:
        """Starts empty."""
        self._short: deque[PendingOpening] = deque()
        self._long: deque[PendingOpening] = deque()
        self._by_flow: dict[bytes, PendingOpening] = {}
        self._work_s = 0.0
        self._answer_s = 0.0

    def __len__(self) -> int:
        return len(self._by_flow)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._by_flow

    def note_work(self, elapsed_s: float) -> None:
        """Notes how long a piece of work took, for the estimate of waits.

        Args:
            elapsed_s: Time from opening to end.
        """
        self._work_s += WORK_GAIN * (elapsed_s - self._work_s)

    def note_answer(self, elapsed_s: float) -> None:
        """Notes how long a target took to answer an opening.

        Args:
            elapsed_s: Time from opening to first answer.
        """
        self._answer_s += WORK_GAIN * (elapsed_s - self._answer_s)

    def idle_share(self, caller_round_trip_s: float) -> float:
        """Estimates the share of a flow's time in which it takes no slot.

        Args:
            caller_round_trip_s: Time between an entry VM and the callers, there and back.

        Returns:
            The handshake's and the close's share of the mean time from opening to end.
        """
        if self._work_s <= 0.0:
            return 0.0
        overhead_s = 2 * (self._answer_s + caller_round_trip_s)
        return min(IDLE_SHARE_LIMIT, overhead_s / self._work_s)

    def accepts(self, rule: rules.Rule, slot_count: int) -> bool:
        """Tells whether a newcomer is likely to be served before its deadline.

        Args:
            rule: The newcomer's rule.
            slot_count: Slots of the service.

        Returns:
            False where the queue is full or the expected wait is beyond the rule's.
        """
        if len(self) >= QUEUE_LIMIT:
            return False
        ahead = len(self) if rule.is_long else len(self._short)
        return ahead * self._work_s / max(1, slot_count) <= rule.wait_s

    def refresh(self, flow: bytes, packet: packets.Packet) -> None:
        """Takes a repeated opening in place of the earlier one.

        Args:
            flow: The flow's key; it waits here.
            packet: The repeated opening.
        """
        self._by_flow[flow].packet = packet

    def push(self, waiting: PendingOpening) -> None:
        """Adds an opening.

        Args:
            waiting: The opening.
        """
        self._by_flow[waiting.packet.caller_flow] = waiting
        (self._long if waiting.rule.is_long else self._short).append(waiting)

    def heads(self, now_s: float) -> list[PendingOpening]:
        """Returns the openings that may be placed next, the first choice first.

        Args:
            now_s: Current time.

        Returns:
            The oldest of each class: short first, unless the long one's patience is used up.
        """
        found = [queue[0] for queue in (self._short, self._long) if queue]
        if self.is_long_impatient(now_s):
            found.reverse()
        return found

    def is_long_impatient(self, now_s: float) -> bool:
        """Tells whether the oldest long opening has used up its patience.

        Args:
            now_s: Current time.
        """
        if not self._long:
            return False
        oldest = self._long[0]
        return now_s - oldest.since_s > LONG_PATIENCE_SHARE * oldest.rule.wait_s

    def remove(self, waiting: PendingOpening) -> None:
        """Takes an opening out.

        Args:
            waiting: One that waits here.
        """
        (self._long if waiting.rule.is_long else self._short).remove(waiting)
        del self._by_flow[waiting.packet.caller_flow]

    def cancel(self, flow: bytes) -> bool:
        """Takes a flow's opening out because its caller went away.

        Args:
            flow: The flow's key.

        Returns:
            Whether it waited here.
        """
        waiting = self._by_flow.get(flow)
        if waiting is None:
            return False
        self.remove(waiting)
        return True

    def expire(self, now_s: float) -> list[PendingOpening]:
        """Takes out those whose deadline passed.

        Args:
            now_s: Current time.

        Returns:
            The openings to refuse.
        """
        expired = [w for w in self._by_flow.values() if w.deadline_s <= now_s]
        for waiting in expired:
            self.remove(waiting)
        return expired
