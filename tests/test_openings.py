"""Tests that unanswered openings are sent to the new placer when their placer is lost."""

import deployment

from zinniaspoke import openings, packets


def opening(number, payload=b""):
    raw = packets.build_tcp(
        source=number.to_bytes(4, "big"),
        source_port=b"\0\1",
        destination=b"\x0a\0\0\1",
        destination_port=b"\0\2",
        flags=packets.SYN,
        sequence=1,
        payload=payload,
    )
    return packets.decode(raw)


def test_only_openings_of_lost_placers_are_popped():
    pending = openings.UnansweredOpenings()
    for number, placer_id in ((1, 7), (2, 8), (3, 7)):
        pending.add(opening(number), placer_id, 0.0)
    pending.add(opening(4, b"early"), 7, 0.0)
    pending.discard(opening(3).caller_flow)
    assert [p.source[3] for p in pending.pop_lost(frozenset({8}))] == [1]
    assert len(pending) == 1
    pending.expire(openings.AGE_LIMIT_S)
    assert len(pending) == 0


def test_opening_is_served_without_the_callers_retransmission():
    net = deployment.start()
    placer = deployment.placer_of(net, "carne-api")
    net.nodes[placer].is_up = False
    flows = [deployment.open_flow(net) for _ in range(20)]
    deployment.run_for(net, 0.01)
    net.nodes[placer].is_up = True
    net.kill(placer)
    deployment.run_for(net, 0.95)
    answered = [f for f in flows if net.tally.outcomes[f].answered_s is not None]
    assert len(answered) >= 8
    deployment.run_for(net, 6.0)
    deployment.assert_all_complete(net)
