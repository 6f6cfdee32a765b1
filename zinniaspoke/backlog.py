"""Queue of openings for which no target has capacity; the newest is forwarded first.

Adaptive LIFO with deadlines (Maurer, "Fail at Scale", ACM Queue 2015): under overload new callers
are served in time, where a FIFO queue would serve all of them late.
"""

import bisect

import attrs

from zinniaspoke import errors

# Weight of a new sample in the moving average of durations: about the last ten samples count.
EWMA_WEIGHT = 0.1
# Time reserved for the handshake before the caller's connection attempt times out.
HANDSHAKE_MARGIN_S = 0.1
# A queued opening takes some 500 bytes, so a full queue is a few megabytes on a small VM.
MAX_LENGTH = 5000

REFUSED_TOO_MANY_WAITING = errors.Nothing(reason="refused_too_many_wait")


@attrs.define(kw_only=True, slots=True, eq=False)
class QueuedOpening:
    """An opening in the queue.

    Attributes:
        flow: The flow's key.
        opening: The opening packet, to be forwarded later.
        queued_s: When it was queued.
        deadline_s: When its caller's connection attempt times out or its rule's wait ends.
    """

    flow: bytes
    opening: object
    queued_s: float
    deadline_s: float


def _deadline_s(queued: QueuedOpening) -> float:
    return queued.deadline_s


class Backlog:
    """Openings for one service that arrived while all its targets were at their in-flight limit."""

    def __init__(self) -> None:
        """Starts empty, without an estimate of how long requests take."""
        self._flows: set[bytes] = set()
        # Sorted by deadline.
        self._queue: list[QueuedOpening] = []
        self._mean_duration_s = 0.0

    def __len__(self) -> int:
        return len(self._queue)

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
        bisect.insort(self._queue, queued, key=_deadline_s)
        self._flows.add(queued.flow)
        remaining_s = self._queue[-1].deadline_s - queued.queued_s - HANDSHAKE_MARGIN_S
        excess = max(0, len(self._queue) - self._max_dispatch_count(in_flight_limit, remaining_s))
        return self._remove_first(excess)

    def _remove_first(self, count: int) -> list[QueuedOpening]:
        removed = self._queue[:count]
        del self._queue[:count]
        self._flows.difference_update(queued.flow for queued in removed)
        return removed

    def pop(self) -> QueuedOpening:
        """Removes and returns the opening with the latest deadline; the queue must not be empty."""
        latest = self._queue.pop()
        self._flows.discard(latest.flow)
        return latest

    def remove(self, flow: bytes) -> None:
        """Removes a flow's opening, if there is one, after its caller closed or reset the flow.

        Args:
            flow: The flow's key.
        """
        if flow in self._flows:
            self._flows.discard(flow)
            self._queue = [queued for queued in self._queue if queued.flow != flow]

    def clear(self) -> list[QueuedOpening]:
        """Removes and returns all openings."""
        return self._remove_first(len(self._queue))

    def remove_expired(self, now_s: float) -> list[QueuedOpening]:
        """Removes openings whose deadline leaves no time for the handshake.

        Args:
            now_s: Current time.

        Returns:
            The removed openings.
        """
        return self._remove_first(
            bisect.bisect_left(self._queue, now_s + HANDSHAKE_MARGIN_S, key=_deadline_s)
        )
