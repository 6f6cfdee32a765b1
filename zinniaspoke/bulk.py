"""Bulk flows on a narrow link: their sizes, and the order that gets most of them in time."""

import collections
import heapq
from collections.abc import Callable, Iterable

import attrs

from zinniaspoke import rules

# Sizes of finished flows that are remembered for each rule.
SAMPLE_COUNT = 32
# Rules whose sizes are remembered; the one learnt first is forgotten first.
RULE_LIMIT = 256
# Callers send at most 16 packets ahead of what is acknowledged.
WINDOW_BYTES = 16 * 1270
# Callers repeat a packet after this; a flow that sent nothing for longer is not waited for.
REPEAT_S = 0.2
# Time from the last byte on the link to the answer: some round trips and the target's work.
ANSWER_S = 0.05
# A flow of which nothing waits or comes for several round trips has sent all, or is in trouble.
SILENCE_S = 0.05
# The longest interval at which callers repeat a packet; a longer pause is not due to losses.
PAUSE_S = 1.6
# Twice the longest interval at which callers repeat a packet: the flow has ended unseen.
IDLE_LIMIT_S = 3.2
# Far above what a narrow link can have in progress; bounds memory.
FLOW_LIMIT = 1024


@attrs.define(kw_only=True, slots=True, eq=False)
class BulkFlow:
    """A bulk flow in progress.

    Attributes:
        key: The flow's key.
        rule: The rule that it was opened by.
        started_s: When its caller sent the first opening, as far as this VM knows.
        active_s: When it was admitted or last sent something.
        carried_bytes: What the link has carried of it.
        waiting_bytes: What waits for the link.
        is_heard: Whether anything came after its opening.
    """

    key: bytes
    rule: rules.Rule
    started_s: float
    active_s: float
    carried_bytes: int = 0
    waiting_bytes: int = 0
    is_heard: bool = False

    @property
    def aim_at_s(self) -> float:
        """When the link has to have carried it, or it is late."""
        return self.started_s + self.rule.aim_s - ANSWER_S

    @property
    def deadline_at_s(self) -> float:
        """When its caller gives up; without a deadline in the rule, never."""
        return self.started_s + (self.rule.deadline_s or float("inf"))

    def is_active(self, now_s: float) -> bool:
        """Whether more of it is to be expected soon.

        Args:
            now_s: Current time.
        """
        limit_s = SILENCE_S if self.is_heard else REPEAT_S
        return self.waiting_bytes > 0 or now_s - self.active_s <= limit_s


class Sizes:
    """Sizes of the last finished flows of one rule."""

    def __init__(self) -> None:
        """Starts without a sample."""
        self._sizes = collections.deque[int](maxlen=SAMPLE_COUNT)
        # Kept, as it is asked for with each opening that is held.
        self._mean_bytes = 0.0

    def record(self, size_bytes: int) -> None:
        """Records a finished flow.

        Args:
            size_bytes: What the link carried of it.
        """
        self._sizes.append(size_bytes)
        self._mean_bytes = sum(self._sizes) / len(self._sizes)

    def remaining_bytes(self, carried_bytes: int) -> float:
        """Estimates what a flow has left: the mean of what larger flows had left at this point.

        Args:
            carried_bytes: What was carried of it.

        Returns:
            The estimate; 0 where no larger flow is known.
        """
        if not carried_bytes:
            return self._mean_bytes
        rests = [size - carried_bytes for size in self._sizes if size > carried_bytes]
        return sum(rests) / len(rests) if rests else 0.0


def most_in_time(
    flows: Iterable[BulkFlow],
    due_s: Callable[[BulkFlow], float],
    work_s: Callable[[BulkFlow], float],
    start_s: float,
) -> tuple[list[BulkFlow], list[BulkFlow], float]:
    """Selects flows so that the fewest are late (Moore and Hodgson's algorithm).

    Args:
        flows: The flows; of those due at the same time the first goes first.
        due_s: When a flow is due.
        work_s: For how long a flow takes the link.
        start_s: When the link is free for the first of them.

    Returns:
        The flows that are in time if they are served one after another in this order, the others
        in the order of their due times, and when the selected ones are done.
    """
    by_due = sorted(flows, key=due_s)
    chosen: list[tuple[float, int]] = []
    end_s = start_s
    left: set[int] = set()
    for index, flow in enumerate(by_due):
        duration_s = work_s(flow)
        heapq.heappush(chosen, (-duration_s, index))
        end_s += duration_s
        if end_s > due_s(flow):
            longest_s, dropped = heapq.heappop(chosen)
            end_s += longest_s
            left.add(dropped)
    selected = [flow for index, flow in enumerate(by_due) if index not in left]
    return selected, [by_due[index] for index in sorted(left)], end_s


class BulkFlows:
    """The bulk flows in progress on one link."""

    def __init__(self) -> None:
        """Starts without flows."""
        self._flows: dict[bytes, BulkFlow] = {}
        self._sizes: dict[bytes, Sizes] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, key: bytes) -> bool:
        return key in self._flows

    def add(self, key: bytes, rule: rules.Rule, started_s: float, now_s: float) -> BulkFlow:
        """Adds a flow that is admitted, or whose packet came without a record of it.

        Args:
            key: The flow's key.
            rule: Its rule.
            started_s: When its caller started.
            now_s: Current time.
        """
        if len(self._flows) >= FLOW_LIMIT:
            del self._flows[next(iter(self._flows))]
        flow = BulkFlow(key=key, rule=rule, started_s=started_s, active_s=now_s)
        self._flows[key] = flow
        return flow

    def find(self, key: bytes, rule: rules.Rule, now_s: float) -> BulkFlow:
        """Returns a flow; one that is not known starts now.

        Args:
            key: The flow's key.
            rule: Its rule.
            now_s: Current time.
        """
        flow = self._flows.get(key)
        return self.add(key, rule, now_s, now_s) if flow is None else flow

    def hear(self, key: bytes, rule: rules.Rule, now_s: float, *, has_payload: bool) -> None:
        """Notes that a packet of a flow came, after its opening.

        A payload after a pause, or anything after the deadline, shows that its caller has begun
        another request on the same flow. An acknowledgement alone begins none: the flow may have
        ended.

        Args:
            key: The flow's key.
            rule: Its rule.
            now_s: Current time.
            has_payload: Whether the packet carries bytes of the caller.
        """
        if not has_payload and key not in self._flows:
            return
        flow = self.find(key, rule, now_s)
        is_pause = not flow.waiting_bytes and now_s - flow.active_s > PAUSE_S
        if has_payload and flow.carried_bytes and is_pause:
            self.finish(key, is_whole=True)
            flow = self.add(key, rule, now_s, now_s)
        elif now_s > flow.deadline_at_s:
            flow.started_s = now_s
        flow.active_s = now_s
        flow.is_heard = True

    def get(self, key: bytes) -> BulkFlow | None:
        """Returns a flow if it is known.

        Args:
            key: The flow's key.
        """
        return self._flows.get(key)

    def finish(self, key: bytes, *, is_whole: bool) -> None:
        """Forgets a flow.

        Args:
            key: The flow's key.
            is_whole: Whether its caller has sent all, so that its size is worth remembering.
        """
        flow = self._flows.pop(key, None)
        if flow is None or not is_whole or not flow.carried_bytes:
            return
        sizes = self._sizes.get(flow.rule.key)
        if sizes is None:
            if len(self._sizes) >= RULE_LIMIT:
                del self._sizes[next(iter(self._sizes))]
            sizes = self._sizes[flow.rule.key] = Sizes()
        sizes.record(flow.carried_bytes)

    def remove_idle(self, now_s: float) -> None:
        """Forgets flows that ended unseen.

        Args:
            now_s: Current time.
        """
        for key, flow in list(self._flows.items()):
            if not flow.waiting_bytes and now_s - flow.active_s > IDLE_LIMIT_S:
                del self._flows[key]

    def remaining_bytes(self, flow: BulkFlow) -> float:
        """Estimates what the link still has to carry of a flow.

        Args:
            flow: The flow.
        """
        sizes = self._sizes.get(flow.rule.key)
        estimate = sizes.remaining_bytes(flow.carried_bytes) if sizes else 0.0
        return max(estimate, flow.waiting_bytes)

    def active(self, now_s: float) -> list[BulkFlow]:
        """Returns the flows of which more is to be expected soon.

        Args:
            now_s: Current time.
        """
        return [flow for flow in self._flows.values() if flow.is_active(now_s)]

    def expected_bytes(self, flow: BulkFlow) -> float:
        """Returns what a flow is about to send at once: a window, or what it has left.

        Args:
            flow: The flow.
        """
        remaining_bytes = self.remaining_bytes(flow)
        return min(WINDOW_BYTES, remaining_bytes) if remaining_bytes else WINDOW_BYTES

    def order(self, flows: Iterable[BulkFlow], bytes_per_s: float, now_s: float) -> list[BulkFlow]:
        """Returns flows in the order in which they are best carried.

        Args:
            flows: The flows.
            bytes_per_s: What the link carries of bulk.
            now_s: Current time.
        """
        work_s = {flow.key: self.remaining_bytes(flow) / bytes_per_s for flow in flows}

        def take(flow: BulkFlow) -> float:
            return work_s[flow.key]

        in_time, rest, _ = most_in_time(flows, _aim_at_s, take, now_s)
        due_s = {flow.key: flow.aim_at_s for flow in in_time}
        due_s |= {flow.key: flow.deadline_at_s for flow in rest}
        chosen, left, end_s = most_in_time(
            in_time + rest, lambda flow: due_s[flow.key], take, now_s
        )
        late, lost, _ = most_in_time(left, _deadline_at_s, take, end_s)
        return chosen + late + lost


def _aim_at_s(flow: BulkFlow) -> float:
    return flow.aim_at_s


def _deadline_at_s(flow: BulkFlow) -> float:
    return flow.deadline_at_s
