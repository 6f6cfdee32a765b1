"""A small simulated deployment in virtual time, for the tests of the entry VM's core."""

from zinniaspoke.standins import virtual

ZONES = ("a", "b", "c", "d")
SERVICES = {"carne-api": 4, "extrato-svc": 3}


def rule_text(numbers=(1, 2), services=tuple(SERVICES), options=""):
    lines = [
        f"10.20.0.{number}:8443 tcp {service} {options} # tests asked, to see it run"
        for number, service in zip(numbers, services, strict=True)
    ]
    return "\n".join(lines).encode()


def start(seed=1, entry_count=6, **options):
    """Returns a deployment whose entry VMs serve and know all targets."""
    net = virtual.Net(seed=seed, **options)
    for number in range(entry_count):
        net.add_entry(f"entry-{number}", ZONES[number % 4], 1 + number)
    net.set_rules(1, rule_text())
    net.loop.run_until(2.0)
    for block, (service, count) in enumerate(SERVICES.items()):
        for index in range(count):
            net.add_target(service, f"127.0.{10 + block}.{1 + index}", ZONES[index % 4])
    net.loop.run_until(4.0)
    return net


def rule(net, number=1):
    found = next(iter(net.nodes.values())).core.book.current.rules.values()
    return next(r for r in found if r.address[3] == number)


def open_flow(net, number=1, **work):
    work = {"kind": "short", "request_count": 1, "work_s": 0.05, "chunk_count": 1, **work}
    return net.callers.open(rule=rule(net, number), **work)


def open_flows(net, count, spacing_s=0.01, **work):
    """Opens flows at regular intervals and returns their keys."""
    flows = []
    for index in range(count):
        flows.append(open_flow(net, 1 + index % 2, **work))
        net.loop.run_until(net.loop.time() + spacing_s)
    return flows


def run_for(net, seconds):
    net.loop.run_until(net.loop.time() + seconds)


def outcomes(net, flows=None):
    return [net.tally.outcomes[flow] for flow in (flows or net.tally.outcomes)]


def assert_invariants(net):
    """Asserts what must hold after any fault.

    No packet reached a wrong service, no request ran twice, and no draining target got a new flow.
    """
    assert net.tally.wrong_service_count == 0
    assert net.tally.repeated_count == 0
    assert net.tally.late_openings == 0


def assert_all_complete(net, flows=None):
    """Asserts what must hold after planned changes: every flow got its complete answer."""
    assert_invariants(net)
    found = outcomes(net, flows)
    assert found and all(o.is_complete and not o.broken_during for o in found)


def home_of(net, flow):
    core = next(iter(net.nodes.values())).core
    home_id = core.members.home_id(flow)
    return name_of(net, home_id)


def name_of(net, member_id):
    """Returns the name of a member, or that of any running one if it has just died."""
    names = {node.core.members.own.id: name for name, node in net.nodes.items()}
    return names.get(member_id, next(iter(names.values())))


def placer_of(net, service):
    core = next(iter(net.nodes.values())).core
    placer_id = core.members.placer_id(service.encode())
    return name_of(net, placer_id)


def target_of(net, flow):
    """Returns the target in the record of a flow's home, or None without a record."""
    record = net.nodes[home_of(net, flow)].core.records.get(flow)
    return record.target if record else None
