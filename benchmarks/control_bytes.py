"""Control bytes against new and open flows: python -m benchmarks.control_bytes."""

import concurrent.futures

import attrs
import tabulate

from benchmarks import deployment

RATES_PER_S = (0, 500, 1_000, 3_000)
OPEN_COUNTS = (0, 2_000, 8_000, 20_000)
MEASURE_S = 4.0
HOST_COUNTS = {"carne-api": 7, "extrato-svc": 4}
SLOT_COUNT = 5_000
OPENING_S = 4.0


@attrs.frozen(kw_only=True)
class Row:
    """One measurement, the mean over the entry VMs.

    Attributes:
        label: What was varied.
        control_bytes_per_s: Control bytes that a VM sent a second.
        forwarded_bytes_per_s: Bytes of packets passed on to siblings a second.
        data_bytes_per_s: Bytes of packets sent to targets and the fabric a second.
        largest_control_bytes_per_s: Control bytes a second of the busiest VM.
    """

    label: str
    control_bytes_per_s: float
    forwarded_bytes_per_s: float
    data_bytes_per_s: float
    largest_control_bytes_per_s: float


def _start() -> deployment.Deployment:
    return deployment.Deployment(seed=1, host_counts=HOST_COUNTS, slot_count=SLOT_COUNT)


def _open(dep: deployment.Deployment, rate_per_s: int, seconds: float, **work: object) -> None:
    """Opens flows at a steady rate, to both services in turn."""
    services = list(HOST_COUNTS)
    count = int(rate_per_s * seconds)
    for number in range(count):
        rule = dep.rules[services[number % 2], False]
        dep.net.loop.call_later(
            number / rate_per_s, lambda r=rule: dep.net.callers.open(rule=r, **work)
        )
    dep.run_for(seconds)


def _measure(dep: deployment.Deployment, label: str, advance: object) -> Row:
    names = ("control_bytes_sent", "forwarded_bytes_sent", "data_bytes_sent")
    cores = dep.cores()
    before = [[getattr(core.counts, name) for name in names] for core in cores]
    started_s = dep.net.loop.time()
    advance()
    elapsed_s = dep.net.loop.time() - started_s
    rates = [
        [
            (getattr(core.counts, name) - old) / elapsed_s
            for name, old in zip(names, row, strict=True)
        ]
        for core, row in zip(cores, before, strict=True)
    ]
    means = [sum(column) / len(cores) for column in zip(*rates, strict=True)]
    return Row(
        label=label,
        control_bytes_per_s=means[0],
        forwarded_bytes_per_s=means[1],
        data_bytes_per_s=means[2],
        largest_control_bytes_per_s=max(row[0] for row in rates),
    )


def measure_rate(rate_per_s: int) -> Row:
    """Measures at a rate of new flows.

    Args:
        rate_per_s: New flows a second over the deployment.

    Returns:
        The measurement.
    """
    dep = _start()
    work = {"kind": "short", "request_count": 1, "work_s": 0.02, "chunk_count": 1}
    _open(dep, rate_per_s, 1.0, **work)
    label = f"{rate_per_s:,} new flows/s"
    return _measure(dep, label, lambda: _open(dep, rate_per_s, MEASURE_S, **work))


def measure_open(open_count: int) -> list[Row]:
    """Measures with flows that stay open, and while copies are sent after a VM is lost.

    Args:
        open_count: Open flows over the deployment.

    Returns:
        The two measurements.
    """
    dep = _start()
    work = {
        "kind": "idle",
        "request_count": 2,
        "work_s": 0.02,
        "chunk_count": 1,
        "pause_s": 1_000.0,
    }
    _open(dep, int(open_count / OPENING_S), OPENING_S, **work)
    dep.run_for(2.0)
    steady = _measure(dep, f"{open_count:,} open flows", lambda: dep.run_for(MEASURE_S))
    dep.net.kill("entry-3")
    dep.run_for(1.0)
    label = f"{open_count:,} open flows, a VM lost"
    return [steady, _measure(dep, label, lambda: dep.run_for(MEASURE_S))]


def main() -> None:
    """Runs all measurements and prints the table with the slopes."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=4) as pool:
        by_rate = list(pool.map(measure_rate, RATES_PER_S))
        by_open = list(pool.map(measure_open, OPEN_COUNTS))
    rows = [*by_rate, *(row for pair in by_open for row in pair)]
    headers = ("load", "control B/s", "busiest VM", "forwarded B/s", "other data B/s")
    table = [
        (
            row.label,
            f"{row.control_bytes_per_s:,.0f}",
            f"{row.largest_control_bytes_per_s:,.0f}",
            f"{row.forwarded_bytes_per_s:,.0f}",
            f"{row.data_bytes_per_s:,.0f}",
        )
        for row in rows
    ]
    print(tabulate.tabulate(table, headers=headers, colalign=("left",) + ("right",) * 4))
    rate_slope = by_rate[-1].control_bytes_per_s - by_rate[0].control_bytes_per_s
    open_slope = by_open[-1][0].control_bytes_per_s - by_open[0][0].control_bytes_per_s
    print(f"\nslope: {rate_slope / RATES_PER_S[-1]:.3f} control bytes a VM for each new flow/s")
    print(f"slope: {open_slope / OPEN_COUNTS[-1]:.4f} control bytes/s a VM for each open flow")


if __name__ == "__main__":
    main()
