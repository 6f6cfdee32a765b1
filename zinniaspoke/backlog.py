"""Openings that wait until a target has a free place; the newest is sent on first.

Adaptive LIFO with deadlines (Maurer, "Fail at Scale", ACM Queue 2015): while more comes than the
targets can take, new callers are served in time and not all of them late.
"""

import bisect

import attrs

from zinniaspoke import errors

# How much one more duration moves the mean; about the last ten count.
MEAN_GAIN = 0.1
# The handshake has to fit in before the caller gives the attempt up.
MARGIN_S = 0.1
# An opening is kept in some 500 bytes; this many are a few megabytes of a small VM.
COUNT_LIMIT = 5000

TOO_MANY = errors.Nothing(reason="refused_too_many_wait")


@attrs.define(kw_only=True, slots=True, eq=False)
class Waiting:
    """An opening that waits.

    Attributes:
        flow: The flow's key.
        opening: The opening, to be sent on later.
        since_s: When it came.
        until_s: When its caller gives the attempt up.
    """

    flow: bytes
    opening: object
    since_s: float
    until_s: float


def _until_s(waiting: Waiting) -> float:
    return waiting.until_s


class Backlog:
    """Openings for one service that found each of its targets at its limit."""

    def __init__(self) -> None:
        """Starts empty, without an idea how long work takes."""
        self._flows: set[bytes] = set()
        # In order of their ends.
        self._waiting: list[Waiting] = []
        self._mean_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    def note_duration(self, held_s: float) -> None:
        """Learns how long work holds a place.

        Args:
            held_s: Time from an opening until its work was done.
        """
        self._mean_s += MEAN_GAIN * (held_s - self._mean_s) if self._mean_s else held_s

    def _count_limit(self, place_count: int, left_s: float) -> int:
        """How many openings are sent on in a time."""
        if not self._mean_s:
            return COUNT_LIMIT
        return min(COUNT_LIMIT, int(place_count / self._mean_s * left_s))

    def add(self, waiting: Waiting, place_count: int) -> list[Waiting]:
        """Takes an opening in.

        Args:
            waiting: The opening.
            place_count: Places of all targets that may be used.

        Returns:
            Openings, this one perhaps among them, that have no chance any more and are to be
            refused at once: their callers give up before the newer ones are sent on.
        """
        bisect.insort(self._waiting, waiting, key=_until_s)
        self._flows.add(waiting.flow)
        left_s = self._waiting[-1].until_s - waiting.since_s - MARGIN_S
        excess = max(0, len(self._waiting) - self._count_limit(place_count, left_s))
        return self._cut(excess)

    def _cut(self, count: int) -> list[Waiting]:
        cut = self._waiting[:count]
        del self._waiting[:count]
        self._flows.difference_update(waiting.flow for waiting in cut)
        return cut

    def pop(self) -> Waiting:
        """Takes out the opening whose caller waits for longest; there must be one."""
        newest = self._waiting.pop()
        self._flows.discard(newest.flow)
        return newest

    def forget(self, flow: bytes) -> None:
        """Drops an opening that its caller took back.

        Args:
            flow: The flow's key.
        """
        if flow in self._flows:
            self._flows.discard(flow)
            self._waiting = [waiting for waiting in self._waiting if waiting.flow != flow]

    def clear(self) -> list[Waiting]:
        """Takes all openings out."""
        return self._cut(len(self._waiting))

    def expire(self, now_s: float) -> list[Waiting]:
        """Drops openings whose callers are about to give the attempt up.

        Args:
            now_s: Current time.

        Returns:
            Those that were dropped.
        """
        return self._cut(bisect.bisect_left(self._waiting, now_s + MARGIN_S, key=_until_s))
