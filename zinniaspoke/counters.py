"""Counters that the core raises and the adapters export."""

import bisect
import collections

import attrs

# From a handshake within a zone to the longest call; each bound about doubles.
LATENCY_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


@attrs.define(kw_only=True, slots=True)
class Histogram:
    """Counts of durations by upper bound.

    Attributes:
        bounds_s: Upper bounds; what is longer is counted in the last place.
        counts: One count for each bound and one for the rest.
        sum_s: Sum of all durations.
    """

    bounds_s: tuple[float, ...] = LATENCY_BOUNDS_S
    counts: list[int] = attrs.field()
    sum_s: float = 0.0

    @counts.default
    def _start_counts(self) -> list[int]:
        return [0] * (len(self.bounds_s) + 1)

    @property
    def count(self) -> int:
        """Number of durations."""
        return sum(self.counts)

    def note(self, duration_s: float) -> None:
        """Counts a duration.

        Args:
            duration_s: The duration.
        """
        self.counts[bisect.bisect_left(self.bounds_s, duration_s)] += 1
        self.sum_s += duration_s


@attrs.define(kw_only=True, slots=True)
class Counters:
    """Counts of one process.

    Attributes:
        drops: Packets and datagrams dropped, by reason.
        events: Things that happened, by name.
        histograms: Durations, by name.
        data_bytes_sent: Bytes of packets sent to targets and the fabric.
        forwarded_bytes_sent: Bytes of packets passed on to siblings.
        control_bytes_sent: Bytes of control datagrams sent.
    """

    drops: collections.Counter[str] = attrs.field(factory=collections.Counter)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)
    histograms: collections.defaultdict[str, Histogram] = attrs.field(
        factory=lambda: collections.defaultdict(Histogram)
    )
    data_bytes_sent: int = 0
    forwarded_bytes_sent: int = 0
    control_bytes_sent: int = 0
