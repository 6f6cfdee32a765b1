"""Bytes of reports and verdicts on targets: python -m benchmarks.evidence_bytes."""

import tabulate

from zinniaspoke import counters, evidence, feed, ledger, observer

# Names as long as those of the users' platform.
NAME, ZONE = "frontend-{:05}", "marmara-a"
FRAME_BYTES = 5
# Control VMs that an entry VM follows.
FOLLOWED_COUNT = 4
NOW_S = 1000.0


def _rows(count: int) -> list[evidence.Row]:
    seer = observer.Observer(counts=counters.Counters())
    for number in range(count):
        seer.record_failure(4_000_000_000 + number, NOW_S - 0.237, NOW_S)
    seer.record_answer(1, NOW_S)
    report = seer.take_report((), NOW_S)
    return list(report.rows) if report else []


def report_bytes(count: int) -> int:
    """Returns the bytes of a report with its frame.

    Args:
        count: Targets in it.
    """
    made = evidence.Report(sequence=1234, rows=tuple(_rows(count)))
    return FRAME_BYTES + len(made.encode(NOW_S))


def _ledger(target_count: int, reporter_count: int) -> ledger.Ledger:
    held = ledger.Ledger(zone_of=lambda _: ZONE)
    for number in range(reporter_count):
        for start in range(0, target_count, evidence.ROWS_PER_REPORT):
            rows = [
                evidence.Row(
                    token=4_000_000_000 + n,
                    kind=evidence.Kind.DARK,
                    failure_count=1,
                    failed_s=NOW_S - 0.237,
                    answered_s=evidence.NEVER_S,
                )
                for n in range(start, min(target_count, start + evidence.ROWS_PER_REPORT))
            ]
            report = evidence.Report(sequence=start + 1, rows=tuple(rows))
            held.receive_report(NAME.format(number), ZONE, report, NOW_S + start)
    return held


def gossip_bytes(count: int) -> int:
    """Returns the bytes of a gossip with what one entry VM reported, with its frame.

    Args:
        count: Targets in it.
    """
    held = _ledger(count, 1)
    update = feed.Update(samples=held.take_gossip(), is_complete=True)
    return FRAME_BYTES + len(feed.encode(update, NOW_S))


def verdict_bytes(count: int, *, is_withdrawn: bool) -> int:
    """Returns the bytes of an update with verdicts, with its frame.

    Args:
        count: Targets under verdict.
        is_withdrawn: Whether they are withdrawn.
    """
    verdicts = tuple(
        evidence.Verdict(
            token=4_000_000_000 + n,
            kind=evidence.Kind.DARK,
            failed_s=NOW_S - 0.237,
            weight=0 if is_withdrawn else 3,
            probers=(3_000_000_000, 3_000_000_001),
        )
        for n in range(count)
    )
    return FRAME_BYTES + len(feed.encode(feed.Update(number=1234, verdicts=verdicts), NOW_S))


def main() -> None:
    """Prints the tables."""
    rows = [
        (
            count,
            report_bytes(count),
            gossip_bytes(count),
            verdict_bytes(count, is_withdrawn=False),
            verdict_bytes(count, is_withdrawn=True),
        )
        for count in (1, 8, evidence.ROWS_PER_REPORT)
    ]
    headers = ("targets", "report", "gossip of one report", "verdicts", "withdrawn")
    print(tabulate.tabulate(rows, headers=headers))
    most = report_bytes(evidence.ROWS_PER_REPORT)
    upward = evidence.REPORT_COPY_COUNT * most / evidence.REPORT_INTERVAL_S
    print(f"\nentry VM, all targets bad: {upward:,.0f} B/s of reports at most")
    full = verdict_bytes(ledger.VERDICTS_PER_UPDATE, is_withdrawn=False)
    print(f"an update with {ledger.VERDICTS_PER_UPDATE} verdicts: {full:,} B")
    changes = verdict_bytes(ledger.CHANGES_PER_INTERVAL, is_withdrawn=False)
    downward = FOLLOWED_COUNT * changes / ledger.VERDICT_INTERVAL_S
    print(f"entry VM, verdicts change all the time: {downward:,.0f} B/s at most")
    each = verdict_bytes(2, is_withdrawn=False) - verdict_bytes(1, is_withdrawn=False)
    for dark_count in (1, 10, 75):
        renewed = FOLLOWED_COUNT * each * dark_count / ledger.RENEW_S
        renewed = min(renewed, downward)
        print(f"{dark_count} targets that stay dark: {renewed:,.0f} B/s of renewals at most")


if __name__ == "__main__":
    main()
