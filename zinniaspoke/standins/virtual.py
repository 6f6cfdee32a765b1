"""Entry VM cores, targets and callers joined by a virtual network on virtual time."""

import ipaddress
import random
from collections.abc import Callable

import attrs

from zinniaspoke import (
    actions,
    entry,
    errors,
    geneve,
    membership,
    packets,
    placement,
    targets,
)
from zinniaspoke.standins import caller, loop, target, traffic

TICK_S = 0.05
LATENCY_S = 0.0005
CALLER_LATENCY_S = 0.001
ANNOUNCE_S = 1.0
FABRIC_DETECTION_S = 0.5
LISTEN_AFTER_S = 0.05
OLD_LEASE_S = targets.DEFAULT_LEASE_S + 0.1
FABRIC = ("127.0.3.1", geneve.PORT)
KEY = b"0123456789abcdef"


@attrs.define(kw_only=True, slots=True, eq=False)
class Node:
    """One entry VM.

    Attributes:
        core: Its core.
        is_up: Whether its process runs.
        is_sprayed: Whether the fabric sends packets to it.
    """

    core: entry.Entry
    is_up: bool = True
    is_sprayed: bool = True


@attrs.define(kw_only=True, slots=True, eq=False)
class Host:
    """A target process and what it announces.

    Attributes:
        process: The process.
        zone: Its availability zone.
        is_up: Whether it runs.
        is_draining: Whether it announces to drain.
        sequence: Number of its last announcement.
        is_starting: Whether it announces but takes no packets yet.
    """

    process: target.TargetHost
    zone: str
    is_up: bool = True
    is_draining: bool = False
    sequence: int = 0
    is_starting: bool = True


class Net:
    """A small deployment on virtual time.

    Attributes:
        loop: The virtual loop.
        tally: What callers and targets counted.
        callers: The callers.
        nodes: Entry VMs by name.
        hosts: Target processes by address.
        loss: Share of datagrams that get lost.
        cut: Tells whether a datagram from one host does not reach another.
    """

    def __init__(self, *, seed: int, policy: str = placement.DEFAULT_POLICY) -> None:
        """Starts without nodes.

        Args:
            seed: Seed of all random choices.
            policy: Placement policy of the entry VMs.
        """
        self.loop = loop.VirtualLoop()
        self.rng = random.Random(seed)
        self.tally = traffic.Traffic()
        self.nodes: dict[str, Node] = {}
        self.hosts: dict[str, Host] = {}
        self.loss = 0.0
        self.cut: Callable[[str, str], bool] = lambda source, destination: False
        self.zone_of_host: dict[str, str] = {}
        self._policy = policy
        self._by_host: dict[str, Node] = {}
        self._incarnation = 0
        self._rules: tuple[int, bytes] = (0, b"")
        self.callers = caller.Callers(
            loop=self.loop,
            transmit=self._from_caller,
            tally=self.tally,
            rng=random.Random(self.rng.random()),
        )

    # Entry VMs

    def add_entry(self, name: str, zone: str, number: int, **limits: int) -> Node:
        """Starts an entry VM.

        Args:
            name: Its name.
            zone: Its availability zone.
            number: Last byte of its address.
            **limits: ``flow_limit`` or ``witness_limit`` of its core.

        Returns:
            The node.
        """
        self._incarnation += 1
        host = f"127.0.1.{number}"
        own = membership.Member(
            name=name,
            zone=zone,
            host=host,
            data_port=geneve.PORT,
            control_port=6082,
            http_port=6083,
            incarnation=self._incarnation,
        )
        config = entry.Config(
            own=own,
            seeds=tuple((h, 6082) for h in self._by_host if h != host),
            fabric=FABRIC,
            fabric_hosts=frozenset({FABRIC[0]}),
            keys=(KEY,),
            policy=self._policy,
            is_strict=True,
            **limits,
        )
        core = entry.Entry(
            config=config, rng=random.Random(self.rng.random()), now_s=self.loop.time()
        )
        node = Node(core=core, is_sprayed=False)
        self.nodes[name] = node
        self._by_host[host] = node
        self.zone_of_host[host] = zone
        self._tick(node)
        return node

    def _tick(self, node: Node) -> None:
        if not node.is_up:
            return
        core = node.core
        self._perform(node, core.tick(self.loop.time()))
        number, content = self._rules
        if core.book.number < number:
            self._perform(node, core.install_rules(number, content))
        serving = membership.MemberState.SERVING
        node.is_sprayed = core.members.own.state is serving and core.book.number > 0
        if core.may_stop(self.loop.time()):
            self.kill(core.members.own.name)
        self.loop.call_later(TICK_S, self._tick, node)

    def kill(self, name: str) -> None:
        """Ends an entry VM's process; the fabric notices a little later.

        Args:
            name: Which one.
        """
        node = self.nodes.pop(name)
        node.is_up = False
        self.loop.call_later(FABRIC_DETECTION_S, self._stop_spraying, node)

    @staticmethod
    def _stop_spraying(node: Node) -> None:
        node.is_sprayed = False

    def leave(self, name: str) -> None:
        """Starts the planned leave of an entry VM.

        Args:
            name: Which one.
        """
        node = self.nodes[name]
        self._perform(node, node.core.begin_leave(self.loop.time()))

    def set_rules(self, number: int, content: bytes) -> None:
        """Commits a rule file; every entry VM takes it at its next tick.

        Args:
            number: The file's number.
            content: Its bytes.
        """
        self._rules = (number, content)

    # Targets

    def add_target(self, service: str, address: str, zone: str = "a", slot_count: int = 2) -> Host:
        """Starts a target process; one that stood at the address before is gone.

        It announces itself first and takes packets only after the older process's lease has run
        out, as the answer to an announcement asks of targets.

        Args:
            service: Its service.
            address: Its IP number.
            zone: Its availability zone.
            slot_count: Pieces of work that it runs at once.

        Returns:
            The host.
        """
        old = self.hosts.get(address)
        if old is not None:
            self.stop_target(address)
        self._incarnation += 1
        process = target.TargetHost(
            service=service,
            host=address,
            incarnation=self._incarnation,
            slot_count=slot_count,
            loop=self.loop,
            transmit=lambda inner: self._from_target(address, inner),
            tally=self.tally,
            rng=random.Random(self.rng.random()),
        )
        host = Host(process=process, zone=zone)
        process.is_stalled = True
        wait_s = LISTEN_AFTER_S if old is None else OLD_LEASE_S
        self.loop.call_later(wait_s, self._listen, host)
        self.hosts[address] = host
        self.zone_of_host[address] = zone
        self._announce(host)
        self.loop.call_later(ANNOUNCE_S, self._announce_forever, host)
        return host

    @staticmethod
    def _listen(host: Host) -> None:
        host.is_starting = False
        host.process.is_stalled = False

    def stop_target(self, address: str) -> None:
        """Ends a target's process at once.

        Args:
            address: Its IP number.
        """
        host = self.hosts[address]
        host.is_up = False
        host.process.stop()

    def drain_target(self, address: str) -> None:
        """Lets a target announce that it wants no new work.

        Args:
            address: Its IP number.
        """
        host = self.hosts[address]
        host.is_draining = True
        host.process.note_draining()
        self._announce(host)

    def _announce_forever(self, host: Host) -> None:
        if not host.is_up:
            return
        if not host.process.is_stalled or host.is_starting:
            self._announce(host)
        self.loop.call_later(ANNOUNCE_S, self._announce_forever, host)

    def _announce(self, host: Host) -> None:
        process = host.process
        node = self._pick(process.host)
        if node is None:
            return
        host.sequence += 1
        announced = targets.Target(
            address=ipaddress.ip_address(process.host).packed,
            port=8443,
            service=process.service,
            incarnation=process.incarnation,
            geneve_port=geneve.PORT,
            slot_count=process.slot_count,
            zone=host.zone,
        )
        state = targets.TargetState(
            target=announced,
            version=host.sequence,
            is_draining=host.is_draining,
            renewed_s=self.loop.time(),
        )
        if node.is_up:
            self._perform(node, node.core.handle_announcement(state, self.loop.time()))

    # Packets

    def _pick(self, source: str) -> Node | None:
        """The fabric's choice among the entry VMs that it sprays and the source reaches."""
        found = [
            node
            for host, node in self._by_host.items()
            if node.is_sprayed and not self.cut(source, host)
        ]
        return self.rng.choice(found) if found else None

    def _is_lost(self, source: str, destination: str) -> bool:
        return self.cut(source, destination) or (self.loss > 0.0 and self.rng.random() < self.loss)

    def _from_caller(self, inner: bytes) -> None:
        node = self._pick(FABRIC[0])
        if node is not None and not self._is_lost(FABRIC[0], node.core.members.own.host):
            data = geneve.encapsulate(inner)
            self.loop.call_later(CALLER_LATENCY_S, self._packet_at, node, data, FABRIC[0])

    def _from_target(self, address: str, inner: bytes) -> None:
        node = self._pick(address)
        if node is not None and not self._is_lost(address, node.core.members.own.host):
            data = geneve.encapsulate(inner)
            self.loop.call_later(LATENCY_S, self._packet_at, node, data, address)

    def _packet_at(self, node: Node, data: bytes, source: str) -> None:
        if node.is_up:
            now_s = self.loop.time()
            self._perform(node, node.core.handle_packet(data, source, now_s))

    def _control_at(self, node: Node, data: bytes, source: str) -> None:
        if node.is_up:
            self._perform(node, node.core.handle_control(data, source, self.loop.time()))

    def _perform(self, node: Node, wanted: list[actions.Action]) -> None:
        source = node.core.members.own.host
        for action in wanted:
            if isinstance(action, actions.SendPacket):
                self._send_packet(source, action)
            elif isinstance(action, actions.SendControl):
                self._send_control(source, action)
            elif isinstance(action, actions.FetchRules):
                self._send_rules(node, action)

    def _send_packet(self, source: str, action: actions.SendPacket) -> None:
        destination = action.endpoint[0]
        if self._is_lost(source, destination):
            return
        if destination == FABRIC[0]:
            self.loop.call_later(CALLER_LATENCY_S, self._to_caller, action.data)
        elif destination in self._by_host:
            node = self._by_host[destination]
            self.loop.call_later(LATENCY_S, self._packet_at, node, action.data, source)
        elif destination in self.hosts:
            self.loop.call_later(LATENCY_S, self._to_target, destination, action.data)

    def _send_control(self, source: str, action: actions.SendControl) -> None:
        node = self._by_host.get(action.endpoint[0])
        if node is not None and not self._is_lost(source, action.endpoint[0]):
            self.loop.call_later(LATENCY_S, self._control_at, node, action.data, source)

    def _send_rules(self, node: Node, action: actions.FetchRules) -> None:
        sibling = self._by_host.get(action.host)
        if sibling is None or not sibling.is_up:
            return
        book = sibling.core.book
        number, content = book.number, book.current.content
        self.loop.call_later(
            2 * LATENCY_S, lambda: self._perform(node, node.core.install_rules(number, content))
        )

    def _to_caller(self, data: bytes) -> None:
        self.callers.receive(packets.decode(geneve.decapsulate(data, ()).inner))

    def _to_target(self, address: str, data: bytes) -> None:
        host = self.hosts[address]
        if not host.is_up:
            return
        try:
            host.process.receive(packets.decode(geneve.decapsulate(data, ()).inner))
        except errors.PacketError:
            return
