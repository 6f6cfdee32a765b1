"""Queue of openings for which no target has capacity: most urgent first, then the newest.

Adaptive LIFO with deadlines (Maurer, "Fail at Scale", ACM Queue 2015): under overload new callers
are served in time, where a FIFO queue would serve all of them late.
"""

import bisect

import attrs

from zinniaspoke import errors, rules

# Weight of a new sample in the moving average of durations: about the last ten samples count.
EWMA_WEIGHT = 0.1
# Time reserved for the handshake before the caller's connection attempt times out.
HANDSHAKE_MARGIN_S = 0.1
# A queued opening takes some 500 bytes, so a full queue is a few megabytes on a small VM.
MAX_LENGTH = 5000

# While both wait, every fifth opening that is forwarded is of a bulk rule: bulk must not starve.
BULK_TURN = 5

REFUSED_TOO_MANY_WAITING = errors.Nothing(reason="refused_too_many_wait")


@attrs.define(kw_only=True, slots=True, eq=False)
class QueuedOpening:
    """An opening in the queue.

    Attributes:
        flow: The flow's key.
        opening: The opening packet, to be forwarded later.
        queued_s: When it was queued.
        deadline_s: When its caller's connection attempt times out or its rule's wait ends.
        urgency: Urgency of its rule.
        is_bulk: Whether its rule is a bulk rule, which yields to all others.
    """

    flow: bytes
    opening: object
    queued_s: float
    deadline_s: float
    urgency: int = rules.DEFAULT_URGENCY
    is_bulk: bool = False

    @property
    def level(self) -> tuple[bool, int]:
        """Its level; lower levels are forwarded first."""
        return self.is_bulk, self.urgency


def _deadline_s(queued: QueuedOpening) -> float:
    return queued.deadline_s


class Backlog:
    """Openings for one service that arrived while all its targets were at their in-flight limit."""

    def __init__(self) -> None:
        """Starts empty, without an estimate of how long requests take."""
        self._flows: set[bytes] = set()
        # By level, in the order of levels; each sorted by deadline and never empty.
        self._queues: dict[tuple[bool, int], list[QueuedOpening]] = {}
        self._mean_duration_s = 0.0
        # Openings forwarded since one of a bulk rule was, while one waited.
        self._passed_bulk_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    def record_duration(self, duration_s: float) -> None:
        """Updates the moving average of the time for which a request counts as in flight.

        Args:
            duration_s: Time from the start of a request until it no longer counted as load.
        """
        self._mean_duration_s += (
            EWMA_WEIGHT * (duration_s - self._mean_duration_s)
            if self._mean_duration_s
            else duration_s
        )

    def _max_dispatch_count(self, in_flight_limit: int, remaining_s: float) -> int:
        """Estimates how many openings can be forwarded within the given time."""
        if not self._mean_duration_s:
            return MAX_LENGTH
        return min(MAX_LENGTH, int(in_flight_limit / self._mean_duration_s * remaining_s))

    def add(self, queued: QueuedOpening, in_flight_limit: int) -> list[QueuedOpening]:
        """Queues an opening and sheds the openings that would time out in the queue.

        Args:
            queued: The opening.
            in_flight_limit: Sum of the in-flight limits of all eligible targets.

        Returns:
            Openings, possibly including this one, that have to be refused at once: their callers
            would time out before all newer openings are forwarded.
        """
        queue = self._queues.get(queued.level)
        if queue is None:
            queue = self._queues[queued.level] = []
            self._queues = dict(sorted(self._queues.items()))
        bisect.insort(queue, queued, key=_deadline_s)
        self._flows.add(queued.flow)
        latest_s = max(waiting[-1].deadline_s for waiting in self._queues.values())
        remaining_s = latest_s - queued.queued_s - HANDSHAKE_MARGIN_S
        most = self._max_dispatch_count(in_flight_limit, remaining_s)
        return self._shed(len(self) - most, most // BULK_TURN)

    def _shed(self, excess: int, bulk_part: int) -> list[QueuedOpening]:
        """Removes the least urgent openings nearest to their deadlines; bulk keeps its part."""
        removed: list[QueuedOpening] = []
        for level in reversed(list(self._queues)):
            is_bulk, _ = level
            spare = len(self._queues[level]) - (bulk_part if is_bulk else 0)
            removed += self._remove_first(level, min(excess - len(removed), spare))
        for level in reversed(list(self._queues)):
            removed += self._remove_first(level, excess - len(removed))
        return removed

    def _remove_first(self, level: tuple[bool, int], count: int) -> list[QueuedOpening]:
        if count <= 0:
            return []
        queue = self._queues[level]
        removed = queue[:count]
        del queue[:count]
        self._forget(removed)
        return removed

    def _forget(self, removed: list[QueuedOpening]) -> None:
        self._flows.difference_update(queued.flow for queued in removed)
        self._queues = {level: queue for level, queue in self._queues.items() if queue}

    def pop(self) -> QueuedOpening:
        """Removes and returns the next opening; the queue must not be empty.

        It is the one with the latest deadline of the most urgent, or of bulk in its turn.
        """
        levels = list(self._queues)
        level = levels[0]
        first_bulk = next((found for found in levels if found[0]), None)
        if first_bulk is None or first_bulk == level:
            self._passed_bulk_count = 0
        else:
            self._passed_bulk_count += 1
            if self._passed_bulk_count == BULK_TURN:
                self._passed_bulk_count = 0
                level = first_bulk
        latest = self._queues[level].pop()
        self._forget([latest])
        return latest

    def remove(self, flow: bytes) -> None:
        """Removes a flow's opening, if there is one, after its caller closed or reset the flow.

        Args:
            flow: The flow's key.
        """
        if flow in self._flows:
            for queue in self._queues.values():
                queue[:] = [queued for queued in queue if queued.flow != flow]
            self._flows.discard(flow)
            self._forget([])

    def clear(self) -> list[QueuedOpening]:
        """Removes and returns all openings."""
        return [
            queued
            for level in list(self._queues)
            for queued in self._remove_first(level, len(self._queues[level]))
        ]

    def remove_expired(
        self, now_s: float, margin_s: float = HANDSHAKE_MARGIN_S
    ) -> list[QueuedOpening]:
        """Removes openings whose deadline leaves no time for the handshake.

        Args:
            now_s: Current time.
            margin_s: Time for the handshake.

        Returns:
            The removed openings.
        """
        limit_s = now_s + margin_s
        return [
            queued
            for level, queue in list(self._queues.items())
            for queued in self._remove_first(
                level, bisect.bisect_left(queue, limit_s, key=_deadline_s)
            )
        ]
