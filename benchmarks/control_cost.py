"""Control cost of an entry VM against the size of its group: python -m benchmarks.control_cost."""

import concurrent.futures
import gc
import time
import tracemalloc

import attrs
import tabulate

from zinniaspoke.standins import virtual

GROUP_SIZES = (4, 8, 16, 24)
TARGETS_PER_VM = 10
RULES_PER_VM = 4
SETTLE_S = 4.0
MEASURE_S = 5.0


@attrs.frozen(kw_only=True)
class Row:
    """One group size.

    Attributes:
        group_size: Entry VMs in the group.
        target_count: Targets behind it.
        core_share: Share of a core that a VM spends on control.
        control_bytes_per_s: Control bytes that a VM sends a second.
        memory_bytes: Memory of a VM's members, targets and rules.
    """

    group_size: int
    target_count: int
    core_share: float
    control_bytes_per_s: float
    memory_bytes: int


def measure(group_size: int) -> Row:
    """Runs a group without traffic.

    Args:
        group_size: Entry VMs.

    Returns:
        The measurement, the mean over the VMs.
    """
    gc.collect()
    tracemalloc.start()
    net = virtual.Net(seed=1)
    for number in range(group_size):
        net.add_entry(f"entry-{number}", "abcd"[number % 4], 1 + number)
    services = RULES_PER_VM * group_size
    lines = [
        f"10.20.{index // 250}.{1 + index % 250}:8443 tcp service-{index} # benchmark: cost"
        for index in range(services)
    ]
    net.set_rules(1, "\n".join(lines).encode())
    net.loop.run_until(SETTLE_S)
    for index in range(TARGETS_PER_VM * group_size):
        net.add_target(f"service-{index % services}", f"127.1.{index // 250}.{1 + index % 250}")
    net.loop.run_until(2 * SETTLE_S)
    memory_bytes = tracemalloc.get_traced_memory()[0] // group_size
    tracemalloc.stop()
    cores = [node.core for node in net.nodes.values()]
    before = sum(core.counts.control_bytes_sent for core in cores)
    started_s = time.process_time()
    net.loop.run_until(2 * SETTLE_S + MEASURE_S)
    elapsed_s = time.process_time() - started_s
    sent = sum(core.counts.control_bytes_sent for core in cores) - before
    return Row(
        group_size=group_size,
        target_count=TARGETS_PER_VM * group_size,
        core_share=elapsed_s / MEASURE_S / group_size,
        control_bytes_per_s=sent / MEASURE_S / group_size,
        memory_bytes=memory_bytes,
    )


def main() -> None:
    """Runs all group sizes and prints the table with the slopes."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=2) as pool:
        rows = list(pool.map(measure, GROUP_SIZES))
    table = [
        (
            row.group_size,
            row.target_count,
            f"{row.core_share:.2%}",
            f"{row.control_bytes_per_s:,.0f}",
            f"{row.memory_bytes / 1e6:.2f}",
        )
        for row in rows
    ]
    headers = ("group", "targets", "share of a core", "control B/s", "memory MB")
    print(tabulate.tabulate(table, headers=headers))
    first, last = rows[0], rows[-1]
    step = last.group_size - first.group_size
    share = (last.core_share - first.core_share) / step
    sent = (last.control_bytes_per_s - first.control_bytes_per_s) / step
    held = (last.memory_bytes - first.memory_bytes) / step
    print(f"\nslope for each VM more: {share:.3%} of a core, {sent:,.0f} B/s, {held / 1e3:,.0f} KB")


if __name__ == "__main__":
    main()
