"""UDP and IPv6 flows through the cores, idle time-outs, and reuse of a closed flow's 5-tuple."""

import deployment
import pytest

from zinniaspoke import packets

CALLERS = {4: b"\x64\x40\x00\x05", 6: b"\xfd" + bytes(14) + b"\x05"}
SERVICES = {4: b"\x0a\x14\x00\x01", 6: b"\xfd" + bytes(14) + b"\x99"}
PORT = (8443).to_bytes(2, "big")


def rule_text(protocol, options=""):
    lines = [f"{a}:8443 {protocol} carne-api {options} # t: t" for a in ("10.20.0.1", "[fd00::99]")]
    return "\n".join(lines).encode()


def start(protocol, options=""):
    net = deployment.start()
    net.set_rules(2, rule_text(protocol, options))
    deployment.run_for(net, 1.0)
    return net


class Caller:
    """Sends packets of one flow and collects the answers."""

    def __init__(self, net, version, number=1):
        self.net, self.version = net, version
        self.port = (3000 + number).to_bytes(2, "big")
        self.received = []
        net.callers.receive = self.received.append

    def endpoints(self):
        return {
            "source": CALLERS[self.version],
            "source_port": self.port,
            "destination": SERVICES[self.version],
            "destination_port": PORT,
        }

    def udp(self, payload):
        self.net._from_caller(packets.build_udp(**self.endpoints(), payload=payload))

    def tcp(self, flags, sequence, acknowledgment=0, payload=b""):
        raw = packets.build_tcp(
            **self.endpoints(),
            flags=flags,
            sequence=sequence,
            acknowledgment=acknowledgment,
            payload=payload,
        )
        self.net._from_caller(raw)


def echo_udp(net, seen):
    """Makes every target answer each datagram with its own address and record it in ``seen``."""
    for address, host in net.hosts.items():

        def receive(packet, address=address):
            seen.append((address, packet.caller_flow))
            answer = packets.build_udp(
                source=packet.destination,
                source_port=packet.destination_port,
                destination=packet.source,
                destination_port=packet.source_port,
                payload=address.encode(),
            )
            net._from_target(address, answer)

        host.process.receive = receive


@pytest.mark.parametrize("version", [4, 6])
def test_udp_flow_keeps_its_target_when_the_group_changes(version):
    net = start("udp")
    seen = []
    echo_udp(net, seen)
    caller = Caller(net, version)
    for count in range(40):
        caller.udp(b"ask")
        deployment.run_for(net, 0.25)
        if count == 10:
            flow = seen[0][1]
            net.kill(deployment.home_of(net, flow))
        if count == 20:
            net.leave(deployment.placer_of(net, "carne-api"))
        if count == 25:
            net.add_target("carne-api", "127.0.10.77")
    assert len({address for address, _ in seen}) == 1
    assert len(caller.received) >= 35


def test_unanswered_udp_flow_keeps_its_target():
    net = start("udp")
    seen = []
    echo_udp(net, seen)
    net.loss = 0.0
    net._from_target = lambda address, inner: None
    caller = Caller(net, 4)
    for _ in range(20):
        caller.udp(b"tell")
        deployment.run_for(net, 0.1)
    assert len(seen) == 20
    assert len({address for address, _ in seen}) == 1


@pytest.mark.parametrize("version", [4, 6])
def test_tcp_flow_is_reset_after_the_idle_timeout(version):
    net = start("tcp", "idle_s=2")
    for host in net.hosts.values():
        host.process._tally = net.tally
    caller = Caller(net, version)
    flow = bytes([packets.TCP]) + b"".join(caller.endpoints().values())
    net.tally.meant[flow] = "carne-api"
    caller.tcp(packets.SYN, 100)
    deployment.run_for(net, 0.1)
    (answer,) = caller.received
    assert answer.flags == packets.SYN | packets.ACK
    assert answer.acknowledgment == 101
    caller.tcp(packets.ACK, 101, answer.sequence + 1)
    deployment.run_for(net, 1.0)
    assert sum(h.process.open_count for h in net.hosts.values()) == 1
    assert len(caller.received) == 1
    deployment.run_for(net, 3.0)
    assert caller.received[-1].flags & packets.RST
    assert caller.received[-1].sequence == answer.sequence + 1
    assert sum(h.process.open_count for h in net.hosts.values()) == 0
    deployment.assert_invariants(net)


def test_reused_five_tuple_of_a_closed_flow_starts_a_new_flow():
    net = start("tcp")
    caller = Caller(net, 4)
    flow = bytes([packets.TCP]) + b"".join(caller.endpoints().values())
    net.tally.meant[flow] = "carne-api"
    for first in (100, 9_000_000):
        caller.received.clear()
        caller.tcp(packets.SYN, first)
        deployment.run_for(net, 0.1)
        answer = caller.received[0]
        assert answer.acknowledgment == first + 1
        caller.tcp(packets.ACK, first + 1, answer.sequence + 1)
        caller.tcp(packets.RST, first + 1)
        deployment.run_for(net, 0.2)
    deployment.assert_invariants(net)
