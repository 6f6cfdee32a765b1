"""Where a flow's decision lives, five designs on the same work: python -m benchmarks.designs."""

import concurrent.futures
import itertools
from collections.abc import Callable

import attrs
import tabulate

from benchmarks import deployment
from zinniaspoke import copies, entry, flows, packets, targets

FLOW_COUNT = 800
OPENING_S = 2.0
HOST_COUNTS = {"despacho": 7, "archivo-planos": 4}
SLOT_COUNT = 400
FINISH_S = 30.0
SEEDS = (1, 2, 3)

_DESIGNS: dict[str, deployment.Prepare] = {}
_SCENARIOS: dict[str, Callable[[deployment.Deployment], None]] = {}


def _design(name: str) -> Callable[[deployment.Prepare], deployment.Prepare]:
    def register(prepare: deployment.Prepare) -> deployment.Prepare:
        _DESIGNS[name] = prepare
        return prepare

    return register


def _scenario(name: str) -> Callable:
    def register(run: Callable[[deployment.Deployment], None]) -> Callable:
        _SCENARIOS[name] = run
        return run

    return register


@_design("homes with witnesses")
def _ours(core: entry.Entry) -> None:
    """The product as it is."""


@_design("exceptions alone")
def _exceptions_alone(core: entry.Entry) -> None:
    """Homes that copy every flow off its base, within the control budget; no witnesses."""
    core.witnesses.observe = lambda *arguments: None
    core.placer.get = lambda flow: None
    add = core.records.add

    def add_without_witnesses(flow: flows.Flow) -> None:
        flow.witness_incarnation_ids = ()
        add(flow)

    core.records.add = add_without_witnesses


@_design("full replication")
def _full_replication(core: entry.Entry) -> None:
    """Homes that send every record to every sibling at once, without a budget."""
    core.witnesses.observe = lambda *arguments: None
    core.placer.get = lambda flow: None
    add = core.records.add

    def add_and_send(flow: flows.Flow) -> None:
        add(flow)
        copy = copies.Copy(
            flow=flow.key,
            target=flow.target,
            sequence=flow.caller_acknowledgment,
            is_long=flow.is_long,
            is_urgent=True,
        )
        for member_id in core.members.reachable_ids:
            core.copy_sender._transmit(member_id, [copy], flow.opened_s)

    core.records.add = add_and_send
    core.copy_sender._resend = lambda now_s: None


def _hash_target(core: entry.Entry, packet: packets.Packet, now_s: float) -> targets.Target | None:
    rule = core.book.find_for_caller(packet)
    states = core.table.of_service(rule.service) if rule else []
    ready = [state.target for state in states if state.accepts_new_flows(now_s)]
    return targets.rendezvous_target(packet.caller_flow, ready) if ready else None


def _relay_all(core: entry.Entry) -> None:
    core.return_path.handle_target_packet = lambda packet, host, now_s: core.out.send_to_fabric(
        packet.raw
    )


@_design("bare consistent hash")
def _bare_hash(core: entry.Entry) -> None:
    """No state: every packet goes to the first ready target in rendezvous order."""
    _relay_all(core)

    def handle_fabric_packet(packet: packets.Packet, now_s: float) -> None:
        target = _hash_target(core, packet, now_s)
        if target is not None:
            core.out.send_to_target(target, packet.raw)

    core.caller_path.handle_fabric_packet = handle_fabric_packet


@_design("table per VM, no homes")
def _table_per_vm(core: entry.Entry) -> None:
    """Each VM keeps what it saw itself, and hashes what it did not."""
    _relay_all(core)

    def handle_fabric_packet(packet: packets.Packet, now_s: float) -> None:
        flow = packet.caller_flow
        record = core.records.get(flow)
        if record is None:
            target = _hash_target(core, packet, now_s)
            if target is None:
                return
            record = flows.Flow(key=flow, target=target, opened_s=now_s, seen_s=now_s)
            core.records.add(record)
        record.observe_caller_packet(packet, now_s)
        core.out.send_to_target(record.target, packet.raw)

    core.caller_path.handle_fabric_packet = handle_fabric_packet


def _change_targets(dep: deployment.Deployment) -> None:
    """Drains a target of each service and starts another, in the same second."""
    for block, service in enumerate(HOST_COUNTS):
        dep.net.drain_target(f"127.0.{10 + block}.1")
        dep.net.add_target(service, f"127.0.{10 + block}.90", slot_count=SLOT_COUNT)


@_scenario("no VM lost")
def _none_lost(dep: deployment.Deployment) -> None:
    _change_targets(dep)


@_scenario("one VM lost")
def _one_lost(dep: deployment.Deployment) -> None:
    dep.net.kill("entry-2")
    _change_targets(dep)


@_scenario("two lost together")
def _two_lost(dep: deployment.Deployment) -> None:
    dep.net.kill("entry-2")
    dep.net.kill("entry-4")
    _change_targets(dep)


@_scenario("second lost after repair")
def _second_lost(dep: deployment.Deployment) -> None:
    dep.net.kill("entry-2")
    _change_targets(dep)
    dep.run_for(2.0)
    dep.add_entry()
    dep.run_for(2.0)
    dep.net.kill("entry-4")


@attrs.frozen(kw_only=True)
class Run:
    """One run.

    Attributes:
        design: Its design.
        scenario: What was done.
        opened: Flows opened.
        broken: Flows that did not get their whole answer.
        control_bytes_per_s: Control bytes a second of the busiest VM while flows were opened.
        record_count: Records and witnesses held in all VMs before the loss.
    """

    design: str
    scenario: str
    opened: int
    broken: int
    control_bytes_per_s: float
    record_count: int


def measure(design: str, scenario: str, seed: int) -> Run:
    """Runs one design through one scenario.

    Args:
        design: A name from the registry.
        scenario: A name from the registry.
        seed: Seed of all random choices.

    Returns:
        The measurement.
    """
    dep = deployment.Deployment(
        seed=seed, host_counts=HOST_COUNTS, slot_count=SLOT_COUNT, prepare=_DESIGNS[design]
    )
    services = list(HOST_COUNTS)
    before = [core.counts.control_bytes_sent for core in dep.cores()]
    for number in range(FLOW_COUNT):
        work = {
            "kind": "long",
            "request_count": 6,
            "work_s": 0.02,
            "chunk_count": 1,
            "pause_s": 1.0 + (number % 20) / 10,
        }
        rule = dep.rules[services[number % 2], False]
        dep.net.loop.call_later(
            OPENING_S * number / FLOW_COUNT,
            lambda r=rule, w=work: dep.net.callers.open(rule=r, **w),
        )
    dep.run_for(OPENING_S + 0.5)
    sent = [
        core.counts.control_bytes_sent - old for core, old in zip(dep.cores(), before, strict=True)
    ]
    held = sum(len(core.records) + len(core.witnesses) for core in dep.cores())
    _SCENARIOS[scenario](dep)
    dep.run_for(FINISH_S)
    outcomes = dep.net.tally.outcomes.values()
    return Run(
        design=design,
        scenario=scenario,
        opened=len(outcomes),
        broken=sum(not outcome.is_complete for outcome in outcomes),
        control_bytes_per_s=max(sent) / (OPENING_S + 0.5),
        record_count=held,
    )


def main() -> None:
    """Runs every design through every scenario and prints the table."""
    jobs = list(itertools.product(_DESIGNS, _SCENARIOS, SEEDS))
    with concurrent.futures.ProcessPoolExecutor(max_workers=6) as pool:
        runs = list(pool.map(measure, *zip(*jobs, strict=True)))
    rows = []
    for design in _DESIGNS:
        own = [run for run in runs if run.design == design]
        broken = [
            sum(run.broken for run in own if run.scenario == scenario) for scenario in _SCENARIOS
        ]
        control = max(run.control_bytes_per_s for run in own)
        held = sum(run.record_count for run in own) / len(own) / FLOW_COUNT
        rows.append((design, *broken, f"{control:,.0f}", f"{held:.1f}"))
    headers = ("design", *_SCENARIOS, "control B/s", "entries a flow")
    print(f"flows broken of {FLOW_COUNT * len(SEEDS):,}, targets changed in the same second")
    print(tabulate.tabulate(rows, headers=headers))


if __name__ == "__main__":
    main()
