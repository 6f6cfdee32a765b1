"""Counts of service levels of an entry VM, one record per service and minute.

An opening is the first packet of a flow, such as a TCP SYN.
"""

import bisect
from collections import deque
from collections.abc import Iterable

import attrs

ANSWER_BOUNDS_S = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
MINUTE_S = 60.0
RETAINED_MINUTE_COUNT = 3 * 24 * 60
OPENING_TIMEOUT_S = 10.0
PENDING_OPENING_LIMIT = 100_000


@attrs.define(kw_only=True, slots=True)
class Minute:
    """Counts of one service in one minute.

    Attributes:
        minute: Minutes since the Unix epoch.
        answered: Openings that a target answered.
        unanswered: Openings without an answer, including refused ones.
        refused: Openings that the placer refused.
        broken: Flows that were reset because their target or path was gone.
        ended: Flows that ended, including broken ones.
        answers: Histogram of the times to the first answer of short work: one bucket up to each of
            ``ANSWER_BOUNDS_S`` and one for longer times.
    """

    minute: int
    answered: int = 0
    unanswered: int = 0
    refused: int = 0
    broken: int = 0
    ended: int = 0
    answers: list[int] = attrs.field(factory=lambda: [0] * (len(ANSWER_BOUNDS_S) + 1))

    def add(self, other: "Minute") -> None:
        """Adds the counts of another VM or minute.

        Args:
            other: The counts to add.
        """
        self.answered += other.answered
        self.unanswered += other.unanswered
        self.refused += other.refused
        self.broken += other.broken
        self.ended += other.ended
        self.answers = [a + b for a, b in zip(self.answers, other.answers, strict=True)]


@attrs.define(kw_only=True, slots=True)
class _Opening:
    service: str
    since_s: float


class LevelRecorder:
    """Counts service levels of the flows whose home or placer is this VM."""

    def __init__(self, *, wall_offset_s: float) -> None:
        """Starts empty.

        Args:
            wall_offset_s: Unix time minus the time of the core's clock.
        """
        self._wall_offset_s = wall_offset_s
        self._minutes: dict[str, deque[Minute]] = {}
        self._openings: dict[bytes, _Opening] = {}

    def _minute(self, service: str, now_s: float) -> Minute:
        minutes = self._minutes.get(service)
        if minutes is None:
            minutes = self._minutes[service] = deque(maxlen=RETAINED_MINUTE_COUNT)
        number = int((now_s + self._wall_offset_s) // MINUTE_S)
        if not minutes or minutes[-1].minute < number:
            minutes.append(Minute(minute=number))
        return minutes[-1]

    def record_opening(self, flow: bytes, service: str, now_s: float) -> None:
        """Records an opening at its home; retransmissions are not counted again.

        Args:
            flow: The flow's key.
            service: Its service.
            now_s: Current time.
        """
        if flow not in self._openings and len(self._openings) < PENDING_OPENING_LIMIT:
            self._openings[flow] = _Opening(service=service, since_s=now_s)

    def record_answered(self, flow: bytes, now_s: float) -> float:
        """Records that a target answered an opening.

        Args:
            flow: The flow's key.
            now_s: Current time.

        Returns:
            The time of the caller's first opening, or the current time if that is not known.
        """
        opening = self._openings.pop(flow, None)
        if opening is None:
            return now_s
        self._minute(opening.service, now_s).answered += 1
        return opening.since_s

    def record_first_answer(self, service: str, elapsed_s: float, now_s: float) -> None:
        """Records the time to the first payload from the target, for short work.

        Args:
            service: The service.
            elapsed_s: Time since the caller's first opening.
            now_s: Current time.
        """
        index = bisect.bisect_left(ANSWER_BOUNDS_S, elapsed_s)
        self._minute(service, now_s).answers[index] += 1

    def record_refused(self, service: str, now_s: float) -> None:
        """Records an opening that the placer refused.

        Args:
            service: The service.
            now_s: Current time.
        """
        self._minute(service, now_s).refused += 1

    def record_end(self, service: str, is_broken: bool, now_s: float) -> None:
        """Records the end of a flow.

        Args:
            service: The service.
            is_broken: Whether it was reset because its target or path was gone.
            now_s: Current time.
        """
        minute = self._minute(service, now_s)
        minute.ended += 1
        minute.broken += is_broken

    def tick(self, now_s: float) -> None:
        """Counts openings that were not answered within ``OPENING_TIMEOUT_S``.

        Args:
            now_s: Current time.
        """
        while self._openings:
            flow, opening = next(iter(self._openings.items()))
            if now_s - opening.since_s < OPENING_TIMEOUT_S:
                return
            del self._openings[flow]
            self._minute(opening.service, now_s).unanswered += 1

    def minutes(self) -> dict[str, list[Minute]]:
        """Returns all retained minutes by service, oldest first."""
        return {service: list(found) for service, found in self._minutes.items()}


def merge(parts: Iterable[dict[str, list[Minute]]]) -> dict[str, list[Minute]]:
    """Adds up the counts of several entry VMs.

    Args:
        parts: The minutes by service of each VM.

    Returns:
        The sums by service and minute, oldest minute first.
    """
    sums: dict[str, dict[int, Minute]] = {}
    for part in parts:
        for service, minutes in part.items():
            by_minute = sums.setdefault(service, {})
            for minute in minutes:
                by_minute.setdefault(minute.minute, Minute(minute=minute.minute)).add(minute)
    return {s: [by_minute[m] for m in sorted(by_minute)] for s, by_minute in sorted(sums.items())}
