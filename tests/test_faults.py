"""The fault matrix: every fault at every step of a flow, alone, twice, and in pairs.

Each test opens flows, brings one flow to the given step, injects the fault and lets time pass.
Afterwards no packet may have reached a wrong service, no request may have run twice, no draining
target may have got a new flow, no invariant of the core may have been violated (the checks are
strict), and every later flow must be served. Planned changes must also break no flow.
"""

import itertools

import deployment
import pytest

from zinniaspoke import packets

STEPS = {
    "before open": 0.0,
    "open unanswered": 0.0025,
    "handshake done": 0.006,
    "payload under way": 0.2,
    "closing": 0.45,
    "handed over": 0.3,
}
PLANNED = {"entry leaves", "entry joins", "target drains", "updates uneven", "target sheds"}
FAULTS = {}


def fault(name):
    def register(make):
        FAULTS[name] = make
        return make

    return register


def home(net, flow):
    """Returns the name of the flow's home, or of any entry VM without a flow or running home."""
    first = next(iter(net.nodes))
    return deployment.home_of(net, flow) if flow else first


@fault("entry dies")
def entry_dies(net, flow, target):
    name = home(net, flow)
    if name in net.nodes:
        net.kill(name)


@fault("placer dies")
def placer_dies(net, flow, target):
    name = deployment.placer_of(net, "carne-api")
    if name in net.nodes:
        net.kill(name)


@fault("entry leaves")
def entry_leaves(net, flow, target):
    net.leave(home(net, flow))


@fault("entry joins")
def entry_joins(net, flow, target):
    number = 50 + len(net.nodes)
    net.add_entry(f"entry-{number}", "a", number)


@fault("target drains")
def target_drains(net, flow, target):
    net.drain_target(target)


@fault("target dies")
def target_dies(net, flow, target):
    net.stop_target(target)


@fault("target replaced")
def target_replaced(net, flow, target):
    net.add_target("carne-api", target)


@fault("target freezes")
def target_freezes(net, flow, target):
    process = net.hosts[target].process
    process.is_stalled = True
    net.loop.call_later(2.0, setattr, process, "is_stalled", False)


@fault("target sheds")
def target_sheds(net, flow, target):
    process = net.hosts[target].process
    process.refuses = True
    net.loop.call_later(2.0, setattr, process, "refuses", False)


def cut_zone(net, both_ways):
    zones = net.zone_of_host

    def is_cut(source, destination):
        source_in, destination_in = (zones.get(h) == "b" for h in (source, destination))
        return (source_in and not destination_in and destination in zones) or (
            both_ways and destination_in and not source_in and source in zones
        )

    net.cut = is_cut
    net.loop.call_later(3.0, setattr, net, "cut", lambda source, destination: False)


@fault("zone cut one way")
def zone_cut_one_way(net, flow, target):
    cut_zone(net, False)


@fault("zone cut both ways")
def zone_cut_both_ways(net, flow, target):
    cut_zone(net, True)


@fault("updates uneven")
def updates_uneven(net, flow, target):
    core = next(iter(net.nodes.values())).core
    core.install_rules(2, deployment.rule_text(options="idle_s=60"))
    net.loop.call_later(1.0, net.set_rules, 2, deployment.rule_text(options="idle_s=60"))


@fault("flow goes silent")
def flow_goes_silent(net, flow, target):
    if not flow:
        return
    process = net.hosts[target].process
    receive = process.receive

    def receive_others(packet):
        if packet.caller_flow != flow:
            receive(packet)

    process.receive = receive_others
    net.loop.call_later(8.0, setattr, process, "receive", receive)


@fault("packets lost")
def packets_lost(net, flow, target):
    net.loss = 0.2
    net.loop.call_later(2.0, setattr, net, "loss", 0.0)


def start_flow_at(step):
    net = deployment.start(seed=7)
    deployment.open_flows(net, 6, kind="long", work_s=0.4, chunk_count=4)
    if step == "before open":
        return net, None, "127.0.10.1"
    flow = deployment.open_flow(net, work_s=0.5, chunk_count=5)
    deployment.run_for(net, STEPS[step])
    if step == "handed over":
        net.add_entry("entry-40", "c", 40)
        deployment.run_for(net, 1.3)
    if step == "closing":
        net.callers._calls[flow].connection.finish(net.loop.time())
    record = net.nodes[deployment.home_of(net, flow)].core.records.get(flow)
    placed = net.nodes[deployment.placer_of(net, "carne-api")].core.placer.get(flow)
    known = record or placed
    return net, flow, known.target.endpoint[0] if known else "127.0.10.1"


def assert_recovery(net, names):
    deployment.run_for(net, 5.0)
    later = deployment.open_flows(net, 12, spacing_s=0.05)
    deployment.run_for(net, 14.0)
    deployment.assert_invariants(net)
    assert all(o.is_complete for o in deployment.outcomes(net, later))
    if set(names) <= PLANNED:
        deployment.assert_all_complete(net)
    for flow, outcome in net.tally.outcomes.items():
        if outcome.is_refused:
            assert not any(key.startswith(f"{number_of(flow)}.") for key in net.tally.ran)


def number_of(flow):
    return int.from_bytes(flow[1:5], "big") - 0x64400001


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("name", FAULTS)
def test_fault_at_step(name, step):
    net, flow, target = start_flow_at(step)
    FAULTS[name](net, flow, target)
    assert_recovery(net, [name])


@pytest.mark.parametrize("step", ["open unanswered", "payload under way"])
@pytest.mark.parametrize("name", FAULTS)
def test_fault_twice(name, step):
    net, flow, target = start_flow_at(step)
    FAULTS[name](net, flow, target)
    deployment.run_for(net, 1.0)
    FAULTS[name](net, flow, target)
    assert_recovery(net, [name])


@pytest.mark.parametrize("pair", list(itertools.combinations(FAULTS, 2)))
def test_two_faults_at_once(pair):
    net, flow, target = start_flow_at("payload under way")
    for name in pair:
        FAULTS[name](net, flow, target)
    assert_recovery(net, pair)


def test_matrix_covers_all_faults_steps_and_pairs(capsys):
    single, pairs = len(FAULTS) * len(STEPS), len(FAULTS) * (len(FAULTS) - 1) // 2
    with capsys.disabled():
        print(f"\nfault matrix: {single} single, {2 * len(FAULTS)} twice, {pairs} pairs")
    assert (single, pairs) == (84, 91)


def test_refused_openings_have_run_no_request():
    net = deployment.start(entry_count=2)
    for host in net.hosts.values():
        host.process.refuses = True
    flows = deployment.open_flows(net, 10)
    deployment.run_for(net, 5.0)
    assert all(net.tally.outcomes[flow].is_refused for flow in flows)
    assert not net.tally.ran


def test_late_answer_of_a_cancelled_attempt_is_dropped():
    net = deployment.start(entry_count=3)
    for host in net.hosts.values():
        host.process.is_stalled = host.process.service == "carne-api"
    flow = deployment.open_flow(net)
    deployment.run_for(net, 1.5)
    core = net.nodes[deployment.placer_of(net, "carne-api")].core
    placed = core.placer.get(flow)
    assert placed.attempt_count > 1
    first = core.table.states[placed.cancelled_tags[0]].target
    answer = packets.build_tcp(
        source=flow[7:11],
        source_port=flow[11:13],
        destination=flow[1:5],
        destination_port=flow[5:7],
        flags=packets.SYN | packets.ACK,
        sequence=5,
        acknowledgment=placed.opening.next_sequence,
    )
    net._from_target(first.endpoint[0], answer)
    deployment.run_for(net, 0.2)
    assert net.tally.outcomes[flow].answered_s is None
    for host in net.hosts.values():
        host.process.is_stalled = False
    deployment.run_for(net, 10.0)
    assert net.tally.outcomes[flow].is_complete
    assert sum(n.core.counts.drops["cancelled_target"] for n in net.nodes.values()) >= 1
    assert net.callers._calls.get(flow) is None


def test_unanswered_opening_is_cancelled_when_its_caller_resets_it():
    net = deployment.start(entry_count=3)
    for host in net.hosts.values():
        host.process.is_stalled = True
    flow = deployment.open_flow(net)
    deployment.run_for(net, 0.1)
    core = net.nodes[deployment.placer_of(net, "carne-api")].core
    assert core.placer.get(flow) is not None
    net.callers._calls.pop(flow).connection.abort()
    deployment.run_for(net, 0.1)
    assert core.placer.get(flow) is None
    assert all(load.open_count == 0 for load in core.placer.loads.values())
