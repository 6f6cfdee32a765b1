"""A control VM's record of what entry VMs report about targets, and its verdicts; does no I/O."""

from collections.abc import Callable, Iterable

import attrs

from zinniaspoke import counters, evidence, hashing

# While verdicts change, they are computed this often and so many changed at a time at most: four
# control VMs then send an entry VM less than 9 KB/s (benchmarks/evidence_bytes.py).
VERDICT_INTERVAL_S = 0.3
CHANGES_PER_INTERVAL = 12
# Failures within ``evidence.WINDOW_S`` that give a verdict, and entry VMs that have to report them.
FAILURE_THRESHOLD = 3
REPORTER_THRESHOLD = 2
# Entry VMs that go on to try a target, at least; one for each zone that the verdict concerns.
PROBER_COUNT = 2
# A verdict is sent again once its newest failure is this much newer than the one that was sent.
RENEW_S = 2.0
# Bounds of memory and of messages.
REPORTERS_PER_TARGET = 16
SAMPLE_LIMIT = 4096
# For a subscriber that has just connected.
VERDICTS_PER_UPDATE = 64
# A reporter that sends more often is not listened to.
REPORT_MIN_INTERVAL_S = evidence.REPORT_INTERVAL_S / 2


@attrs.define(kw_only=True, slots=True)
class _Issued:
    """A verdict as subscribers were told, with the revision of the ledger that changed it."""

    verdict: evidence.Verdict
    revision: int
    withdrawn_s: float = evidence.NEVER_S


class Ledger:
    """Merges samples by target, kind and reporter, and computes verdicts from them.

    Attributes:
        revision: Increases with each verdict that is given, changed or withdrawn.
        changes: Verdicts given or withdrawn, for the log; cleared by whoever logs them.
    """

    def __init__(
        self, *, zone_of: Callable[[int], str | None], counts: counters.Counters | None = None
    ) -> None:
        """Starts without samples.

        Args:
            zone_of: Returns the availability zone of a target by its token, or None if the target
                is not known.
            counts: Counts of this process.
        """
        self._zone_of = zone_of
        self.counters = counts or counters.Counters()
        self.revision = 0
        self.changes: list[evidence.Verdict] = []
        self._samples: dict[evidence.Key, dict[str, evidence.Sample]] = {}
        self._sample_count = 0
        self._issued: dict[evidence.Key, _Issued] = {}
        # Keys whose samples have changed, in that order.
        self._dirty: dict[evidence.Key, None] = {}
        self._gossip: dict[tuple[evidence.Key, str], evidence.Sample] = {}
        self._reported_s: dict[str, float] = {}
        self._judged_s = evidence.NEVER_S

    # Samples

    def receive_report(
        self, reporter: str, zone: str, report: evidence.Report, now_s: float
    ) -> bool:
        """Takes a report of an entry VM.

        Args:
            reporter: Its name.
            zone: Its availability zone.
            report: The report.
            now_s: Current time.

        Returns:
            False if it was refused: it has no name, or came too soon after the last.
        """
        if not reporter or now_s - self._reported_s.get(reporter, evidence.NEVER_S) < (
            REPORT_MIN_INTERVAL_S
        ):
            self.counters.events["evidence_reports_refused"] += 1
            return False
        self._reported_s[reporter] = now_s
        self.counters.events["evidence_reports_received"] += 1
        for row in report.rows:
            sample = evidence.Sample(
                reporter=reporter, zone=zone, sequence=report.sequence, row=row
            )
            if self._merge(sample, now_s):
                self._gossip[row.key, reporter] = sample
        return True

    def receive_gossip(self, samples: Iterable[evidence.Sample], now_s: float) -> None:
        """Takes samples that entry VMs reported to another control VM.

        Args:
            samples: The samples.
            now_s: Current time.
        """
        for sample in samples:
            self._merge(sample, now_s)

    def _merge(self, sample: evidence.Sample, now_s: float) -> bool:
        row = sample.row
        if now_s - row.newest_s > evidence.HOLD_S or self._zone_of(row.token) is None:
            self.counters.events["evidence_rows_refused"] += 1
            return False
        known = self._samples.get(row.key, {})
        before = known.get(sample.reporter)
        if before is not None:
            if before.sequence >= sample.sequence:
                return False
        elif len(known) >= REPORTERS_PER_TARGET:
            oldest = min(known.values(), key=lambda s: (s.row.newest_s, s.reporter))
            if oldest.row.newest_s >= row.newest_s:
                return False
            del known[oldest.reporter]
        elif self._sample_count >= SAMPLE_LIMIT:
            self.counters.events["evidence_rows_refused"] += 1
            return False
        else:
            self._sample_count += 1
        self._samples.setdefault(row.key, known)[sample.reporter] = sample
        self._dirty[row.key] = None
        return True

    def take_gossip(self) -> tuple[evidence.Sample, ...]:
        """Returns and clears the samples that other control VMs have to be told."""
        samples, self._gossip = tuple(self._gossip.values()), {}
        return samples

    def samples(self) -> tuple[evidence.Sample, ...]:
        """Returns all samples, for a control VM that has just connected."""
        return tuple(sample for known in self._samples.values() for sample in known.values())

    # Verdicts

    def tick(self, now_s: float) -> None:
        """Computes the verdicts that may have changed; called often.

        Args:
            now_s: Current time.
        """
        if now_s - self._judged_s < VERDICT_INTERVAL_S:
            return
        self._expire(now_s)
        limit = self.revision + CHANGES_PER_INTERVAL
        for key in list(self._dirty):
            if self.revision >= limit:
                break
            self._judged_s = now_s
            del self._dirty[key]
            self._issue(key, self._judge(key, now_s), now_s)

    def _expire(self, now_s: float) -> None:
        for key, known in list(self._samples.items()):
            for reporter, sample in list(known.items()):
                if now_s - sample.row.newest_s > evidence.HOLD_S:
                    del known[reporter]
                    self._sample_count -= 1
                    self._dirty[key] = None
            if not known:
                del self._samples[key]
        for key, issued in list(self._issued.items()):
            # Receivers expire a withdrawn verdict by themselves after as long.
            if not issued.verdict.weight and now_s - issued.withdrawn_s > evidence.HOLD_S:
                del self._issued[key]
        for reporter, reported_s in list(self._reported_s.items()):
            if now_s - reported_s > evidence.HOLD_S:
                del self._reported_s[reporter]

    def _judge(self, key: evidence.Key, now_s: float) -> evidence.Verdict | None:
        """Returns the verdict that follows from the samples, or None."""
        samples = self._samples.get(key, {}).values()
        answered_s: dict[str, float] = {}
        for sample in samples:
            newest_s = max(answered_s.get(sample.zone, evidence.NEVER_S), sample.row.answered_s)
            answered_s[sample.zone] = newest_s
        failing = [
            s for s in samples if s.row.failure_count and s.row.failed_s > answered_s[s.zone]
        ]
        if not failing:
            return None
        failed_s = max(s.row.failed_s for s in failing)
        issued = self._issued.get(key)
        current = issued.verdict if issued is not None and issued.verdict.weight else None
        if current is None:
            counted = [s for s in failing if now_s - s.row.failed_s <= evidence.WINDOW_S]
            if not _is_enough(counted):
                return None
        elif not _is_enough(failing) and max(answered_s.values()) > failed_s:
            # Some have seen it answer, and too few say otherwise.
            return None
        zones = self._zones(key[0], failing, answered_s)
        return evidence.Verdict(
            token=key[0],
            kind=key[1],
            zones=zones,
            failed_s=failed_s,
            weight=sum(s.row.failure_count for s in failing),
            probers=_probers(failing, zones, self._zone_of(key[0]), current),
        )

    def _zones(
        self, token: int, failing: list[evidence.Sample], answered_s: dict[str, float]
    ) -> tuple[str, ...]:
        """Returns the zones whose entry VMs should avoid the target; empty for all.

        Failures of VMs of the target's own zone are its own; those of other zones may be due to a
        cut between the two.
        """
        zones = {sample.zone for sample in failing}
        own = self._zone_of(token)
        if own and own not in zones:
            return tuple(sorted(zones))
        failed_s = max(s.row.failed_s for s in failing if not own or s.zone == own)
        is_answering = any(s > failed_s for zone, s in answered_s.items() if zone not in zones)
        return tuple(sorted(zones)) if is_answering else ()

    def _issue(self, key: evidence.Key, verdict: evidence.Verdict | None, now_s: float) -> None:
        issued = self._issued.get(key)
        current = issued.verdict if issued is not None else None
        if verdict is None:
            if current is not None and current.weight:
                withdrawn = evidence.Verdict(token=key[0], kind=key[1])
                self._store(key, withdrawn, now_s)
                self.counters.events["evidence_verdicts_withdrawn"] += 1
                self.changes.append(withdrawn)
            return
        if current is None or not current.weight:
            self._store(key, verdict, now_s)
            self.counters.events["evidence_verdicts_given"] += 1
            self.changes.append(verdict)
            return
        is_same = (current.zones, current.probers) == (verdict.zones, verdict.probers)
        if not is_same or verdict.failed_s - current.failed_s >= RENEW_S:
            self._store(key, verdict, now_s)
            self.counters.events["evidence_verdicts_renewed"] += 1

    def _store(self, key: evidence.Key, verdict: evidence.Verdict, now_s: float) -> None:
        self.revision += 1
        withdrawn_s = evidence.NEVER_S if verdict.weight else now_s
        self._issued[key] = _Issued(
            verdict=verdict, revision=self.revision, withdrawn_s=withdrawn_s
        )

    @property
    def verdicts(self) -> dict[evidence.Key, evidence.Verdict]:
        """The verdicts in force."""
        return {key: i.verdict for key, i in self._issued.items() if i.verdict.weight}

    def changed_since(self, revision: int) -> tuple[tuple[evidence.Verdict, ...], int]:
        """Returns the oldest changes of verdicts after a revision.

        Args:
            revision: Up to where the subscriber has been told.

        Returns:
            At most ``VERDICTS_PER_UPDATE`` of them, and up to where they tell it.
        """
        issued = sorted(
            (i for i in self._issued.values() if i.revision > revision), key=lambda i: i.revision
        )
        if len(issued) <= VERDICTS_PER_UPDATE:
            return tuple(i.verdict for i in issued), self.revision
        issued = issued[:VERDICTS_PER_UPDATE]
        return tuple(i.verdict for i in issued), issued[-1].revision


def _is_enough(samples: list[evidence.Sample]) -> bool:
    count = sum(s.row.failure_count for s in samples)
    return count >= FAILURE_THRESHOLD and len(samples) >= REPORTER_THRESHOLD


def _probers(
    failing: list[evidence.Sample],
    zones: tuple[str, ...],
    own_zone: str | None,
    current: evidence.Verdict | None,
) -> tuple[int, ...]:
    """Returns the ids of the VMs that go on to try the target: one a zone, at least two.

    Those named before stay while they report; then VMs of the target's own zone come first, whose
    failures concern all zones.
    """
    before = set(current.probers) if current is not None else set()

    def rank(sample: evidence.Sample) -> tuple[bool, bool, int]:
        prober = evidence.prober_id(sample.reporter)
        weight = hashing.weight(sample.row.token.to_bytes(8, "big"), prober)
        return prober not in before, sample.zone != own_zone, weight

    ordered = sorted(failing, key=rank)
    chosen: dict[str, evidence.Sample] = {}
    for sample in ordered:
        if not zones or sample.zone not in {s.zone for s in chosen.values()}:
            chosen[sample.reporter] = sample
        if len(chosen) >= max(PROBER_COUNT, len(zones)):
            break
    for sample in ordered:
        if len(chosen) >= PROBER_COUNT:
            break
        chosen[sample.reporter] = sample
    return tuple(sorted(evidence.prober_id(reporter) for reporter in chosen))
