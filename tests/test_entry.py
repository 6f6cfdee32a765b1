"""Tests of the entry VM's core in a small deployment: planned changes, kills and recovery."""

import deployment
import pytest

from zinniaspoke import flows, packets


def long_work():
    return {"kind": "long", "request_count": 8, "work_s": 0.02, "chunk_count": 1, "pause_s": 0.6}


def test_flows_complete_and_counts_return_to_zero():
    net = deployment.start()
    deployment.open_flows(net, 60)
    deployment.run_for(net, 12.0)
    deployment.assert_all_complete(net)
    for node in net.nodes.values():
        assert all(load.open_count == 0 for load in node.core.placer.loads.values())
        assert len(node.core.placer) == 0
        assert len(node.core.records) == 0


@pytest.mark.parametrize("seed", range(4))
def test_planned_leave_and_join_break_no_flow(seed):
    net = deployment.start(seed=seed)
    deployment.open_flows(net, 24, **long_work())
    net.leave("entry-2")
    deployment.run_for(net, 1.0)
    net.add_entry("entry-9", "a", 90)
    deployment.run_for(net, 14.0)
    assert "entry-2" not in net.nodes
    deployment.assert_all_complete(net)


@pytest.mark.parametrize("seed", range(4))
def test_kill_breaks_no_flow_that_has_a_witness(seed):
    net = deployment.start(seed=seed)
    deployment.open_flows(net, 24, **long_work())
    deployment.run_for(net, 1.0)
    net.kill("entry-3")
    deployment.run_for(net, 20.0)
    deployment.assert_all_complete(net)


@pytest.mark.parametrize("seed", range(4))
def test_second_kill_right_after_recovery_from_the_first_breaks_no_flow(seed):
    net = deployment.start(seed=seed)
    deployment.open_flows(net, 24, **long_work())
    deployment.run_for(net, 1.0)
    net.kill("entry-3")
    deployment.run_for(net, 1.5)
    net.add_entry("entry-3", "d", 4)
    deployment.run_for(net, 2.0)
    net.kill("entry-4")
    deployment.run_for(net, 20.0)
    deployment.assert_all_complete(net)


def test_draining_target_gets_no_new_flow_and_keeps_its_flows():
    net = deployment.start()
    deployment.open_flows(net, 16, **long_work())
    net.drain_target("127.0.10.1")
    deployment.run_for(net, 2.5)
    deployment.open_flows(net, 60)
    deployment.run_for(net, 12.0)
    deployment.assert_all_complete(net)


def test_new_process_at_a_used_address_gets_no_packet_of_earlier_flows():
    net = deployment.start()
    opened = deployment.open_flows(net, 16, **long_work())
    deployment.run_for(net, 1.0)
    victims = [f for f in opened if str(deployment.target_of(net, f).endpoint[0]) == "127.0.10.1"]
    assert victims
    net.add_target("extrato-svc", "127.0.10.1")
    deployment.run_for(net, 15.0)
    deployment.assert_invariants(net)
    for flow in opened:
        outcome = net.tally.outcomes[flow]
        assert outcome.is_complete != (flow in victims)
    assert all(net.tally.outcomes[flow].broken_during is not None for flow in victims)


def test_rule_change_moves_new_flows_only():
    net = deployment.start()
    opened = deployment.open_flows(net, 16, **long_work())
    deployment.run_for(net, 1.0)
    before = {flow: deployment.target_of(net, flow) for flow in opened}
    net.set_rules(2, deployment.rule_text(numbers=(2, 1)))
    deployment.run_for(net, 1.0)
    fresh = deployment.open_flows(net, 16)
    for flow in fresh:
        assert net.tally.meant[flow] == deployment.rule(net, flow[-3]).service
    deployment.run_for(net, 12.0)
    deployment.assert_all_complete(net)
    assert all(before.values())


def test_removed_address_serves_its_open_flows():
    net = deployment.start()
    opened = deployment.open_flows(net, 16, **long_work())
    net.set_rules(2, deployment.rule_text(numbers=(3, 4)))
    deployment.run_for(net, 12.0)
    deployment.assert_all_complete(net, opened)


def test_full_flow_table_refuses_openings_before_any_request_runs():
    net = deployment.start(entry_count=1)
    net.nodes["entry-0"].core.records._limit = 5
    deployment.open_flows(net, 12, **long_work())
    deployment.run_for(net, 12.0)
    deployment.assert_invariants(net)
    refused = [o for o in deployment.outcomes(net) if o.is_refused]
    assert len(refused) == 7
    assert len(net.tally.ran) == 5 * 8


def test_wrong_signature_and_replay_are_dropped_and_counted():
    net = deployment.start(entry_count=2)
    first, second = (node.core for node in net.nodes.values())
    first.tick(net.loop.time())
    sent = [a for a in first.tick(net.loop.time() + 0.3) if hasattr(a, "endpoint")]
    data = sent[0].data
    second.handle_control(data, "peer", net.loop.time())
    second.handle_control(data, "peer", net.loop.time())
    second.handle_control(b"x" + data[1:], "peer", net.loop.time())
    assert second.counts.drops["replay"] == 1
    assert second.counts.drops["signature"] == 1


def test_looping_packet_is_dropped_at_the_hop_limit():
    net = deployment.start(entry_count=3)
    flow = deployment.open_flow(net)
    deployment.run_for(net, 0.5)
    cores = [node.core for node in net.nodes.values()]
    for index, core in enumerate(cores):
        following = cores[(index + 1) % 3].members.own.id
        core.members.home_id = lambda key, following=following: following
        core.records.discard(flow)
    raw = packets.build_tcp(
        source=flow[1:5],
        source_port=flow[5:7],
        destination=flow[7:11],
        destination_port=flow[11:13],
        flags=packets.ACK,
        sequence=1,
    )
    net.callers._transmit(raw)
    deployment.run_for(net, 0.5)
    assert sum(core.counts.drops["hop_limit"] for core in cores) >= 1


def test_stalled_flow_is_reset_while_its_target_answers_other_flows():
    net = deployment.start()
    opened = deployment.open_flows(net, 12, **long_work())
    deployment.run_for(net, 1.0)
    flow = opened[0]
    victim = deployment.target_of(net, flow)
    connection = net.hosts[victim.endpoint[0]].process._connections[flow]
    connection.receive = lambda packet, now_s: None
    connection.poll = lambda now_s: None
    deployment.run_for(net, 25.0)
    assert net.tally.outcomes[flow].broken_during is not None
    assert not net.tally.outcomes[flow].is_complete
    resets = sum(n.core.counts.events["flow_reset"] for n in net.nodes.values())
    assert resets >= 1
    deployment.assert_invariants(net)
    others = [o for f, o in net.tally.outcomes.items() if f != flow]
    assert all(o.is_complete for o in others)


def test_witness_of_an_earlier_connection_does_not_match():
    net = deployment.start()
    target = next(iter(net.nodes["entry-0"].core.table.states.values())).target
    witness = flows.Witness(target=target, sequence=1000, seen_s=0.0)
    raw = {"source": b"\1" * 4, "source_port": b"\0\1", "destination": b"\2" * 4}
    near, far = (
        packets.decode(
            packets.build_tcp(
                **raw,
                destination_port=b"\0\2",
                flags=packets.ACK,
                sequence=1,
                acknowledgment=acknowledgment,
            )
        )
        for acknowledgment in (900, 1 << 30)
    )
    assert witness.matches(near)
    assert not witness.matches(far)
