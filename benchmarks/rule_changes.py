"""Rule changes on loopback and recovery from disk: python -m benchmarks.rule_changes."""

import asyncio
import random
import tempfile
import time

import tabulate

from benchmarks import policies
from zinniaspoke import consensus, control, log, storage
from zinniaspoke.adapters import logs
from zinniaspoke.proto import control_pb2
from zinniaspoke.standins import site

CHANGE_COUNT = 60
POLL_COUNT = 2_000
RECOVERY_COUNTS = (100, 1_000, 3_000)
RULE_COUNT = 20


def rule_file(number: int) -> bytes:
    """Returns a rule file that differs by its number.

    Args:
        number: The number.
    """
    lines = [
        f"10.20.{index // 250}.{1 + index % 250}:8443 tcp carne-api # benchmark: change {number}"
        for index in range(RULE_COUNT)
    ]
    return "\n".join(lines).encode()


async def measure_changes(folder: str) -> None:
    """Prints submit-to-yes and yes-to-everywhere with three replicas and six entry VMs."""
    deployed = site.Site(folder=folder, services=["carne-api"], rng=random.Random(1))
    await deployed.start_fabric()
    await deployed.start_control()
    for number in range(site.ENTRY_COUNT):
        await deployed.start_entry(number)
    await deployed.submit(1, rule_file(1))
    client = deployed.client("submit")
    accepted, spread = [], []
    for number in range(2, 2 + CHANGE_COUNT):
        started_s = time.perf_counter()
        reply = await client.submit(number, rule_file(number))
        if reply.outcome != control_pb2.SUBMIT_OUTCOME_YES:
            raise RuntimeError(reply.reason)
        accepted_s = time.perf_counter()
        while not deployed.is_in_force(number):
            await asyncio.sleep(0.002)
        accepted.append(accepted_s - started_s)
        spread.append(time.perf_counter() - accepted_s)
    reader = deployed.client("read")
    started_s = time.process_time()
    for _ in range(POLL_COUNT):
        await reader.newer_rules(1_000_000)
    poll_us = (time.process_time() - started_s) / POLL_COUNT * 1e6
    await client.close()
    await reader.close()
    await deployed.stop()
    rows = [
        (name, f"{policies.quantile(times, 0.5):.3f}", f"{policies.quantile(times, 0.99):.3f}")
        for name, times in (("submit to yes", accepted), ("yes to everywhere", spread))
    ]
    title = f"{CHANGE_COUNT} changes of {len(rule_file(2))} bytes"
    print(tabulate.tabulate(rows, headers=(title, "p50 s", "p99 s")))
    print(
        f"\na poll for rules, both ends and idle work besides: {poll_us:.0f} µs of processor time"
    )


def measure_recovery(count: int) -> tuple[int, int, str]:
    """Writes changes to a disk and reads them back.

    Args:
        count: Changes accepted before the restart.

    Returns:
        The count, the bytes on disk, and the milliseconds to come back.
    """
    with tempfile.TemporaryDirectory() as folder:
        files = storage.DiskStorage(folder=folder)
        core = _replica(files)
        core.replica._found()
        now_s = 0.0
        while core.replica.role is not consensus.Role.LEADER:
            now_s += 0.05
            core.tick(now_s)
        for number in range(1, 1 + count):
            core.submit(number, rule_file(number), now_s)
            while core.history.number < number:
                now_s += 0.05
                core.tick(now_s)
        files.close()
        files = storage.DiskStorage(folder=folder)
        started_s = time.perf_counter()
        again = _replica(files)
        elapsed_ms = (time.perf_counter() - started_s) * 1e3
        if again.replica.last_index != core.replica.last_index:
            raise RuntimeError("the log came back shorter")
        stored = sum(len(files.read(name) or b"") for name in (log.LOG, log.SNAPSHOT, log.STATE))
        files.close()
    return count, stored, f"{elapsed_ms:.1f}"


def _replica(files: storage.Storage) -> control.Control:
    return control.Control(
        name="a",
        initial_voters=("a",),
        entries=log.Log(files=files),
        rng=random.Random(1),
        now_s=0.0,
    )


def main() -> None:
    """Runs both measurements."""
    with tempfile.TemporaryDirectory() as folder:
        logs.open_destination(f"{folder}/events.log")
        asyncio.run(measure_changes(folder))
    print()
    rows = [measure_recovery(count) for count in RECOVERY_COUNTS]
    print(tabulate.tabulate(rows, headers=("changes before", "bytes on disk", "ms to come back")))
    entry = control_pb2.LogEntry(
        index=1, term=1, rule_file=control_pb2.RuleFile(number=1, content=rule_file(1))
    )
    overhead = len(log.encode_record(entry.SerializeToString())) - len(rule_file(1))
    print(f"\na change on disk: its file and {overhead} bytes")


if __name__ == "__main__":
    main()
