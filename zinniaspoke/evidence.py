"""What one entry VM has seen of bad targets, for all of them; does no I/O.

Rows, reports and verdicts, and how they are encoded. Entry VMs report failures
(``observer.Observer``), control VMs merge them into verdicts (``ledger.Ledger``), and entry VMs
avoid the targets under verdict (``exchange.Exchange``). See docs/design/shared-evidence.md.
"""

import enum
import json

import attrs

from zinniaspoke import errors, hashing

# While something is notable, an entry VM reports this often at most.
REPORT_INTERVAL_S = 0.35
ROWS_PER_REPORT = 12
# Control VMs to which each report is sent, in case that one has just failed.
REPORT_COPY_COUNT = 2
# Failures within this time add up to a verdict.
WINDOW_S = 2.0
# Evidence is kept this long: longer than the pause between two probes (4 s) and a report.
HOLD_S = 6.0
COUNT_MAX = 255
NEVER_S = -1e9


class Kind(enum.IntEnum):
    """What is wrong with a target; the higher, the worse."""

    SLOW = 1
    DARK = 2


Key = tuple[int, Kind]


@attrs.frozen(kw_only=True)
class Row:
    """What one entry VM has seen of one target.

    Attributes:
        token: The target's routing token.
        kind: What the row is about.
        failure_count: Failures since the last answer.
        failed_s: When the newest of them was sent.
        answered_s: When it last answered, for ``SLOW`` in usual time.
    """

    token: int
    kind: Kind
    failure_count: int
    failed_s: float
    answered_s: float

    @property
    def key(self) -> Key:
        """What the row is about."""
        return self.token, self.kind

    @property
    def newest_s(self) -> float:
        """Time of the newest thing seen."""
        return max(self.failed_s, self.answered_s)


@attrs.frozen(kw_only=True)
class Sample:
    """A row with its origin.

    Attributes:
        reporter: Name of the entry VM.
        zone: Its availability zone.
        sequence: Number of the report; a higher one replaces a lower one.
        row: What it has seen.
    """

    reporter: str
    zone: str
    sequence: int
    row: Row


@attrs.frozen(kw_only=True)
class Verdict:
    """A judgement of one control VM on a target.

    Attributes:
        token: The target's routing token.
        kind: What is wrong.
        zones: Availability zones whose entry VMs should avoid it; empty for all.
        failed_s: When the newest failure was sent.
        weight: Number of failures that it rests on; 0 once it is withdrawn.
        probers: Ids of the entry VMs that go on to try the target.
    """

    token: int
    kind: Kind
    zones: tuple[str, ...] = ()
    failed_s: float = NEVER_S
    weight: int = 0
    probers: tuple[int, ...] = ()

    @property
    def key(self) -> Key:
        """What the verdict is about."""
        return self.token, self.kind

    def concerns(self, zone: str, now_s: float) -> bool:
        """Whether the entry VMs of a zone should avoid the target.

        Args:
            zone: The availability zone.
            now_s: Current time.
        """
        is_in_force = self.weight > 0 and now_s - self.failed_s < HOLD_S
        return is_in_force and (not self.zones or zone in self.zones)


def prober_id(name: str) -> int:
    """Returns the id by which verdicts name an entry VM.

    Args:
        name: The VM's name.
    """
    return hashing.short_hash(name.encode())


# Codec: times travel as ages, since clocks differ.


def _age(time_s: float, now_s: float) -> float | None:
    return None if time_s <= now_s - HOLD_S else round(max(0.0, now_s - time_s), 3)


def _time(age_s: object, now_s: float) -> float:
    if age_s is None:
        return NEVER_S
    if not 0 <= float(age_s) <= HOLD_S:
        raise ValueError(f"age {age_s} is not between 0 and {HOLD_S} s")
    return now_s - float(age_s)


def encode_row(row: Row, now_s: float) -> list[object]:
    """Encodes a row for JSON.

    Args:
        row: The row.
        now_s: Current time.
    """
    ages = (_age(row.failed_s, now_s), _age(row.answered_s, now_s))
    return [row.token, int(row.kind), row.failure_count, *ages]


def decode_row(body: list, now_s: float) -> Row:
    """Decodes a row.

    Args:
        body: What ``encode_row`` returned.
        now_s: Current time.

    Raises:
        ValueError: A value is out of its range.
    """
    token, kind, failure_count, failed_age_s, answered_age_s = body
    if not 0 <= int(failure_count) <= COUNT_MAX:
        raise ValueError(f"failure count {failure_count} is not between 0 and {COUNT_MAX}")
    return Row(
        token=int(token),
        kind=Kind(kind),
        failure_count=int(failure_count),
        failed_s=_time(failed_age_s, now_s),
        answered_s=_time(answered_age_s, now_s),
    )


def encode_verdict(verdict: Verdict, now_s: float) -> list[object]:
    """Encodes a verdict for JSON; one that is withdrawn is short.

    Args:
        verdict: The verdict.
        now_s: Current time.
    """
    age_s = _age(verdict.failed_s, now_s)
    if not verdict.weight or age_s is None:
        return [verdict.token, int(verdict.kind)]
    head = [verdict.token, int(verdict.kind), age_s, verdict.weight]
    return [*head, list(verdict.probers), *verdict.zones]


def decode_verdict(body: list, now_s: float) -> Verdict:
    """Decodes a verdict.

    Args:
        body: What ``encode_verdict`` returned.
        now_s: Current time.

    Raises:
        ValueError: A value is out of its range.
    """
    token, kind, *given = body
    if not given:
        return Verdict(token=int(token), kind=Kind(kind))
    failed_age_s, weight, probers, *zones = given
    return Verdict(
        token=int(token),
        kind=Kind(kind),
        zones=tuple(str(zone) for zone in zones),
        failed_s=_time(failed_age_s, now_s),
        weight=int(weight),
        probers=tuple(int(prober) for prober in probers),
    )


@attrs.frozen(kw_only=True)
class Report:
    """Message of an entry VM to a control VM.

    Attributes:
        sequence: Its number at this entry VM.
        rows: What has changed.
    """

    sequence: int
    rows: tuple[Row, ...]

    def encode(self, now_s: float) -> bytes:
        """Encodes the report.

        Args:
            now_s: Current time.
        """
        rows = [encode_row(row, now_s) for row in self.rows]
        return json.dumps([self.sequence, rows], separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes, peer: str, now_s: float) -> "Report":
        """Decodes a report.

        Args:
            data: The bytes.
            peer: Name of the sender.
            now_s: Current time on the receiver's clock.

        Raises:
            errors.DatagramError: The bytes are not a valid report.
        """
        try:
            sequence, rows = json.loads(data)
            if len(rows) > ROWS_PER_REPORT:
                raise ValueError(f"{len(rows)} rows, at most {ROWS_PER_REPORT} are taken")
            return cls(sequence=int(sequence), rows=tuple(decode_row(row, now_s) for row in rows))
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            reason = f"{type(error).__name__}: {error}"
            raise errors.DatagramError(step="decode evidence", peer=peer, reason=reason) from error
