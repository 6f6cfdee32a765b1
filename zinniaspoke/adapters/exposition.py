"""Counters and histograms as text in the Prometheus format, without an exporter's weight."""

from collections.abc import Iterable

from zinniaspoke import counters

PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


def _lines(name: str, label: str, values: Iterable[tuple[str, float]]) -> list[str]:
    rows = [f'{name}{{{label}="{key}"}} {value}' for key, value in sorted(values)]
    return [f"# TYPE {name} counter", *rows] if rows else []


def _histogram(name: str, histogram: counters.Histogram) -> list[str]:
    rows = [f"# TYPE {name} histogram"]
    total = 0
    for bound_s, count in zip(histogram.bounds_s, histogram.counts, strict=False):
        total += count
        rows.append(f'{name}_bucket{{le="{bound_s}"}} {total}')
    rows.append(f'{name}_bucket{{le="+Inf"}} {histogram.count}')
    rows.append(f"{name}_sum {histogram.sum_s:.6f}")
    rows.append(f"{name}_count {histogram.count}")
    return rows


def render(counted: counters.Counters, gauges: dict[str, float]) -> bytes:
    """Renders what a process counted.

    Args:
        counted: The counts.
        gauges: Values of this moment by name.
    """
    rows = [
        *_lines("zinniaspoke_dropped_total", "reason", counted.drops.items()),
        *_lines("zinniaspoke_events_total", "event", counted.events.items()),
    ]
    for name, histogram in sorted(counted.histograms.items()):
        rows += _histogram(f"zinniaspoke_{name}_seconds", histogram)
    for name, value in sorted(gauges.items()):
        rows += [f"# TYPE zinniaspoke_{name} gauge", f"zinniaspoke_{name} {value}"]
    return ("\n".join(rows) + "\n").encode()
