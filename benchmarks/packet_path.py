"""Time and memory of one entry VM's packet path: python -m benchmarks.packet_path."""

import gc
import ipaddress
import random
import time
import tracemalloc
from collections.abc import Callable

import dpkt
import tabulate

from zinniaspoke import entry, flows, geneve, membership, packets, targets

FABRIC = ("127.0.3.1", geneve.PORT)
KEY = b"0123456789abcdef"
SERVICE = ipaddress.ip_address("10.20.0.1").packed
SERVICE_PORT = (8443).to_bytes(2, "big")
PACKET_COUNT = 20_000
FLOW_COUNTS = (10_000, 100_000, 300_000)
CHANGE_FLOW_COUNT = 200_000
TARGET_COUNT = 7


def member(number: int) -> membership.Member:
    """Returns an entry VM's description."""
    return membership.Member(
        name=f"entry-{number}",
        zone="a",
        host=f"127.0.1.{number}",
        data_port=geneve.PORT,
        control_port=6082,
        http_port=6083,
        incarnation=1,
    )


def make_core(sibling_count: int = 5) -> entry.Entry:
    """Returns a serving core with targets, rules and siblings."""
    config = entry.Config(
        own=member(1),
        seeds=(),
        fabric=FABRIC,
        fabric_hosts=frozenset({FABRIC[0]}),
        keys=(KEY,),
        policy="least_open",
        is_strict=True,
    )
    core = entry.Entry(config=config, rng=random.Random(1), now_s=0.0)
    core.install_rules(1, b"10.20.0.1:8443 tcp carne-api # benchmark: speed")
    for number in range(2, 2 + sibling_count):
        add_sibling(core, number, 1.0)
    core.tick(1.0)
    for number in range(1, 1 + TARGET_COUNT):
        core.handle_announcement(target_state(number, 1.0), 1.0)
    return core


def add_sibling(core: entry.Entry, number: int, now_s: float) -> None:
    """Makes a core see a serving sibling."""
    sibling = member(number)
    core.members.register(sibling, now_s)
    core.members.record_heartbeat(sibling.id, membership.MemberState.SERVING, True, now_s)


def target_state(number: int, now_s: float) -> targets.TargetState:
    """Returns a target's announcement."""
    target = targets.Target(
        address=ipaddress.ip_address(f"127.0.10.{number}").packed,
        port=8443,
        service="carne-api",
        incarnation=1,
        geneve_port=geneve.PORT,
    )
    return targets.TargetState(target=target, version=1, is_draining=False, renewed_s=now_s)


def packet_of(number: int, flags: int, payload: bytes = b"") -> bytes:
    """Returns a caller's packet in Geneve."""
    inner = packets.build_tcp(
        source=(0x64400000 + number // 50_000).to_bytes(4, "big"),
        source_port=(1024 + number % 50_000).to_bytes(2, "big"),
        destination=SERVICE,
        destination_port=SERVICE_PORT,
        flags=flags,
        sequence=1,
        acknowledgment=1,
        payload=payload,
    )
    return geneve.encapsulate(inner)


def add_record(core: entry.Entry, number: int) -> None:
    """Puts a flow's record into a core."""
    flow = packets.decode(packet_of(number, packets.ACK)[8:]).caller_flow
    states = list(core.table.states.values())
    record = flows.Flow(
        key=flow,
        target=states[number % len(states)].target,
        stage=flows.Stage.ESTABLISHED,
        opened_s=1.0 + number * 1e-6,
        seen_s=1.0 + number * 1e-6,
        payload_forwarded=True,
        caller_sequence=1_000_000_000 + number,
        caller_acknowledgment=2_000_000_000 + number,
        witness_incarnation_ids=(member(2).incarnation_id, member(3).incarnation_id),
    )
    core.records.add(record)


def time_each(calls: list[Callable[[], object]]) -> float:
    """Returns the mean time of the calls, in microseconds."""
    gc.collect()
    started_s = time.perf_counter()
    for call in calls:
        call()
    return (time.perf_counter() - started_s) / len(calls) * 1e6


def split_by_home(core: entry.Entry, count: int) -> tuple[list[int], list[int]]:
    """Returns numbers of flows whose home this core is, and of those whose home it is not."""
    own, other = [], []
    for number in range(count):
        flow = packets.decode(packet_of(number, packets.ACK)[8:]).caller_flow
        (own if core.members.home_id(flow) == core.members.own.id else other).append(number)
    return own, other


def measure_times() -> None:
    """Prints microseconds a packet on each way through one process."""
    core = make_core()
    own, other = split_by_home(core, PACKET_COUNT)
    for number in own:
        add_record(core, number)

    def hand(data: bytes, source: str = FABRIC[0]) -> Callable[[], object]:
        return lambda: core.handle_packet(data, source, 2.0)

    payload = b"x" * 100
    steered = geneve.encapsulate_steered(
        packet_of(own[0], packets.ACK, payload)[8:],
        geneve.Steering(step=geneve.Step.TO_HOME, hop_count=1, sender_id=member(2).id),
        KEY,
    )
    returned = packets.decode(packet_of(own[0], packets.ACK, payload)[8:])
    answer = geneve.encapsulate(
        packets.build_tcp(
            source=SERVICE,
            source_port=SERVICE_PORT,
            destination=returned.source,
            destination_port=returned.source_port,
            flags=packets.ACK,
            sequence=1,
            payload=payload,
        )
    )
    opening_core = make_core(sibling_count=0)
    openings = [packet_of(number, packets.SYN) for number in range(PACKET_COUNT)]
    home = [hand(packet_of(n, packets.ACK, payload)) for n in own]
    rows = [
        ("hit at home", time_each(home)),
        (
            "passed on to its home",
            time_each([hand(packet_of(n, packets.ACK, payload)) for n in other]),
        ),
        ("hit at home, from a sibling", time_each([hand(steered)] * PACKET_COUNT)),
        ("return packet relayed", time_each([hand(answer, "127.0.10.1")] * PACKET_COUNT)),
        (
            "opening, home and placer in one VM",
            time_each(
                [lambda d=d: opening_core.handle_packet(d, FABRIC[0], 2.0) for d in openings]
            ),
        ),
    ]
    table = [(name, f"{us:.1f}", f"{1e6 / us:,.0f}") for name, us in rows]
    print(tabulate.tabulate(table, headers=("way", "µs a packet", "packets/s a core")))


def measure_decoding() -> None:
    """Prints decoding by offsets against dpkt."""
    raw = packet_of(1, packets.ACK, b"x" * 100)[8:]
    rows = [
        ("by offsets", time_each([lambda: packets.decode(raw)] * PACKET_COUNT)),
        ("dpkt", time_each([lambda: dpkt.ip.IP(raw)] * PACKET_COUNT)),
    ]
    table = [(name, f"{us:.2f}") for name, us in rows]
    print(tabulate.tabulate(table, headers=("decoder", "µs a packet")))


def measure_memory() -> None:
    """Prints bytes of memory per flow at several table sizes, home and witness apart."""
    rows = []
    for count in FLOW_COUNTS:
        core = make_core()
        gc.collect()
        tracemalloc.start()
        for number in range(count):
            add_record(core, number)
        record_bytes = tracemalloc.get_traced_memory()[0]
        target = next(iter(core.table.states.values())).target
        for number in range(count):
            key = b"w" + packets.decode(packet_of(number, packets.ACK)[8:]).caller_flow
            core.witnesses.put(key, target, 3_000_000_000 + number, 1.0 + number * 1e-6)
        both_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append((f"{count:,}", record_bytes // count, (both_bytes - record_bytes) // count))
    print(tabulate.tabulate(rows, headers=("flows", "bytes a record", "bytes a witness")))


def measure_stalls() -> None:
    """Prints the longest single call while members and targets change under many flows."""
    core = make_core()
    for number in range(CHANGE_FLOW_COUNT):
        add_record(core, number)
    gc.collect()
    gc.freeze()
    longest: dict[str, float] = {}

    def run(name: str, call: Callable[[], object]) -> None:
        started_s = time.perf_counter()
        call()
        elapsed_ms = (time.perf_counter() - started_s) * 1e3
        longest[name] = max(longest.get(name, 0.0), elapsed_ms)

    now_s = 1.2
    run("a member joins", lambda: add_sibling(core, 9, now_s))
    run("a target is announced", lambda: core.handle_announcement(target_state(90, now_s), now_s))
    for tick in range(800):
        now_s = 1.2 + 0.05 * tick
        if tick == 20:
            run("a member is lost", lambda now_s=now_s: core.members.tick(now_s))
        for number in range(3, 10):
            add_sibling(core, number, now_s)
        run("tick", lambda now_s=now_s: core.tick(now_s))
    rows = [(name, f"{ms:.1f}") for name, ms in longest.items()]
    print(tabulate.tabulate(rows, headers=(f"call, {CHANGE_FLOW_COUNT:,} flows held", "ms")))


def main() -> None:
    """Runs all measurements."""
    for measure in (measure_times, measure_decoding, measure_memory, measure_stalls):
        measure()
        print()


if __name__ == "__main__":
    main()
