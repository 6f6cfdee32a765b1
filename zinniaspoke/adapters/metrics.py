"""OpenTelemetry metrics, shown in Prometheus' text form."""

from collections.abc import Callable, Iterable

import prometheus_client
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics

from zinniaspoke import counters


class Metrics:
    """Exports the core's counters and some gauges of one process."""

    def __init__(self, *, counts: counters.Counters, gauges: dict[str, Callable[[], int]]) -> None:
        """Registers the instruments.

        Args:
            counts: The core's counters.
            gauges: Reads a present value, by metric name.
        """
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        self._provider = sdk_metrics.MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        meter = self._provider.get_meter("zinniaspoke")
        self._add_counters(meter, counts)
        for name, read in gauges.items():
            meter.create_observable_gauge(name, callbacks=[_gauge(read)])

    @staticmethod
    def _add_counters(meter: metrics.Meter, counts: counters.Counters) -> None:
        meter.create_observable_counter(
            "zinniaspoke_drops",
            callbacks=[_labelled("reason", lambda: counts.drops)],
            description="Packets and datagrams dropped",
        )
        meter.create_observable_counter(
            "zinniaspoke_events",
            callbacks=[_labelled("event", lambda: counts.events)],
            description="Things that happened",
        )
        for name in ("data_bytes_sent", "forwarded_bytes_sent", "control_bytes_sent"):
            meter.create_observable_counter(
                f"zinniaspoke_{name}", callbacks=[_counter(counts, name)], unit="By"
            )

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Stops exporting."""
        self._provider.shutdown()


Callback = Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]


def _gauge(read: Callable[[], int]) -> Callback:
    return lambda _: [metrics.Observation(read())]


def _counter(counts: counters.Counters, name: str) -> Callback:
    return lambda _: [metrics.Observation(getattr(counts, name))]


def _labelled(label: str, read: Callable[[], dict[str, int]]) -> Callback:
    return lambda _: [metrics.Observation(v, {label: k}) for k, v in read().items()]
