"""What this entry VM sees of targets, and its reports to control VMs; does no I/O."""

from collections.abc import Iterable

import attrs

from zinniaspoke import counters, evidence

# Failures prove nothing while packets wait longer than this for this VM's link.
LINK_DELAY_LIMIT_S = 0.1
# An acknowledgement that arrives now was caused by bytes that left the target this much earlier.
ANSWER_TRANSIT_S = 0.02
# A VM that hears no target for this long after a failure may itself be cut off.
HEARD_WITHIN_S = 0.5
# A response that takes this many times the usual is slow, unless it is shorter than the minimum:
# callers notice delays of this order, and one lost packet costs 0.2 s.
SLOW_FACTOR = 4.0
SLOW_MIN_S = 0.25
# What is usual is known after this many responses; each moves the estimate of the median by a step.
USUAL_SAMPLE_COUNT = 20
USUAL_STEP = 1.05
# Services and routes for which it is kept; beyond, all are learnt anew.
USUAL_LIMIT = 1024


@attrs.define(kw_only=True, slots=True)
class _Seen:
    """What this VM has seen of one target, of one kind."""

    failure_count: int = 0
    failed_s: float = evidence.NEVER_S
    answered_s: float = evidence.NEVER_S
    # ``answered_s`` as last reported.
    reported_answer_s: float = evidence.NEVER_S


@attrs.define(kw_only=True, slots=True)
class _Usual:
    """Estimate of the median duration of one service and route."""

    median_s: float
    sample_count: int = 0

    def is_slow(self, duration_s: float) -> bool:
        return (
            self.sample_count >= USUAL_SAMPLE_COUNT
            and duration_s >= SLOW_MIN_S
            and duration_s > SLOW_FACTOR * self.median_s
        )

    def note(self, duration_s: float) -> None:
        self.sample_count += 1
        if self.sample_count <= USUAL_SAMPLE_COUNT:
            # The mean of few samples until the steps take over.
            self.median_s += (duration_s - self.median_s) / self.sample_count
        elif duration_s > self.median_s:
            self.median_s *= USUAL_STEP
        else:
            self.median_s /= USUAL_STEP


class Observer:
    """Collects what this entry VM sees of targets, and builds its reports."""

    def __init__(self, *, counts: counters.Counters) -> None:
        """Starts without observations.

        Args:
            counts: Counts of this process.
        """
        self.counters = counts
        self._seen: dict[evidence.Key, _Seen] = {}
        self._changed: set[evidence.Key] = set()
        self._usual: dict[tuple[str, bytes], _Usual] = {}
        self._interrupted_s = evidence.NEVER_S
        self._heard_s = evidence.NEVER_S
        self._reported_s = evidence.NEVER_S
        self._expired_s = evidence.NEVER_S
        self._sequence = 0

    def record_interruption(self, now_s: float) -> None:
        """Records that what was sent until now proves nothing.

        This VM's link was busy, or this VM was suspended.

        Args:
            now_s: Current time.
        """
        self._interrupted_s = now_s

    def record_failure(self, token: int, sent_s: float, now_s: float) -> None:
        """Counts an opening or request that was not answered.

        Args:
            token: The target's token.
            sent_s: When it was sent.
            now_s: Current time.
        """
        self._fail((token, evidence.Kind.DARK), sent_s, now_s)

    def _fail(self, key: evidence.Key, sent_s: float, now_s: float) -> None:
        if sent_s <= self._interrupted_s:
            self.counters.events["evidence_disregarded"] += 1
            return
        seen = self._seen.setdefault(key, _Seen())
        if seen.answered_s > sent_s:
            return
        if now_s - seen.failed_s > evidence.WINDOW_S:
            seen.failure_count = 0
        seen.failure_count = min(seen.failure_count + 1, evidence.COUNT_MAX)
        seen.failed_s = max(seen.failed_s, sent_s)
        self._changed.add(key)

    def record_answer(self, token: int, now_s: float) -> None:
        """Records that the target is reachable.

        Args:
            token: The target's token.
            now_s: Current time.
        """
        self._heard_s = now_s
        self._answer((token, evidence.Kind.DARK), now_s - ANSWER_TRANSIT_S)

    def _answer(self, key: evidence.Key, answered_s: float) -> None:
        seen = self._seen.get(key)
        if seen is None:
            seen = self._seen[key] = _Seen()
        seen.answered_s = answered_s
        if seen.failure_count and answered_s > seen.failed_s:
            seen.failure_count = 0
            self._changed.add(key)

    def record_duration(
        self, token: int, route: tuple[str, bytes], started_s: float, now_s: float
    ) -> None:
        """Compares how long a first response took with what is usual for its service and route.

        Args:
            token: The target's token.
            route: Service, and address and port that the caller asked.
            started_s: When the request or opening was sent.
            now_s: When the caller acknowledged the first bytes.
        """
        if started_s <= self._interrupted_s:
            return
        duration_s = now_s - started_s
        usual = self._usual.get(route)
        if usual is None:
            if len(self._usual) >= USUAL_LIMIT:
                self._usual.clear()
            usual = self._usual[route] = _Usual(median_s=duration_s)
        if usual.is_slow(duration_s):
            self._fail((token, evidence.Kind.SLOW), now_s, now_s)
        elif not usual.is_slow(2 * duration_s):
            self._answer((token, evidence.Kind.SLOW), now_s)
        usual.note(duration_s)

    def answered_s(self, key: evidence.Key) -> float:
        """Returns when this VM last saw what disproves a verdict.

        Args:
            key: What the verdict is about.
        """
        seen = self._seen.get(key)
        return evidence.NEVER_S if seen is None else seen.answered_s

    def take_report(
        self, verdicts: Iterable[evidence.Verdict], now_s: float
    ) -> evidence.Report | None:
        """Returns the report that is due now, or None.

        Args:
            verdicts: Those that concern this VM; answers that disprove them are reported.
            now_s: Current time.
        """
        if now_s - self._reported_s < evidence.REPORT_INTERVAL_S:
            return None
        self._expire(now_s)
        for verdict in verdicts:
            seen = self._seen.get(verdict.key)
            if seen is not None and seen.reported_answer_s <= verdict.failed_s < seen.answered_s:
                self._changed.add(verdict.key)
        keys = [key for key in self._changed if self._is_reportable(self._seen[key])]
        if not keys:
            return None
        # The newest failures first: the rest waits for the next report.
        keys.sort(key=lambda key: (self._seen[key].failure_count > 0, self._seen[key].failed_s))
        keys = keys[-evidence.ROWS_PER_REPORT :]
        self._changed.difference_update(keys)
        self._reported_s = now_s
        self._sequence += 1
        rows = tuple(self._row(key) for key in keys)
        self.counters.events["evidence_reports_sent"] += 1
        self.counters.events["evidence_rows_sent"] += len(rows)
        return evidence.Report(sequence=self._sequence, rows=rows)

    def _is_reportable(self, seen: _Seen) -> bool:
        """Whether it proves something: this VM has heard a target soon after a failure."""
        return not seen.failure_count or self._heard_s > seen.failed_s

    def _row(self, key: evidence.Key) -> evidence.Row:
        seen = self._seen[key]
        seen.reported_answer_s = seen.answered_s
        token, kind = key
        return evidence.Row(
            token=token,
            kind=kind,
            failure_count=seen.failure_count,
            failed_s=seen.failed_s,
            answered_s=seen.answered_s,
        )

    def _expire(self, now_s: float) -> None:
        """Forgets what is old, and failures after which no target was heard soon."""
        for key in list(self._changed):
            seen = self._seen[key]
            if not self._is_reportable(seen) and now_s - seen.failed_s > HEARD_WITHIN_S:
                seen.failure_count = 0
                self._changed.discard(key)
                self.counters.events["evidence_disregarded"] += 1
        if now_s - self._expired_s < evidence.WINDOW_S:
            return
        self._expired_s = now_s
        for key, seen in list(self._seen.items()):
            if now_s - max(seen.failed_s, seen.answered_s) > evidence.HOLD_S:
                del self._seen[key]
                self._changed.discard(key)
