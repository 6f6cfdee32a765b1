"""A simulated registry of targets, with an entry VM, on links that may hold what they carry.

Each direction of a link keeps its order. What a target had sent may arrive after it has ended, as
the kernel of its machine goes on sending.
"""

import random

import attrs

from zinniaspoke import coordinator, errors, feed, roster, steering, subscription

STEP_S = 0.05
INTERVAL_S = 1.2
# A target calls another control VM after this long without an answer.
ANSWER_LIMIT_S = 1.0
DRAIN_S = 3.0
# Datagrams are lost one at a time: more of them are evidence that a target is gone.
LOSS_GAP_S = 4.0
CONTROLS = ("c1:1", "c2:1", "c3:1")
ENTRY = "e1"
RULES = b"10.9.0.1:443 tcp ledger idempotent=yes # t: t"
ROUTE = bytes((10, 9, 0, 1)) + (443).to_bytes(2, "big")
READY, DRAINING, ENDED = roster.State.READY, roster.State.DRAINING, roster.State.ENDED


@attrs.define(kw_only=True, eq=False)
class Link:
    """One direction of a connection.

    Attributes:
        is_held: Whether it keeps what it carries.
        waiting: What it carries, oldest first.
    """

    is_held: bool = False
    waiting: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class Lifetime:
    """One process of a target.

    Attributes:
        identity: Its name.
        host: Its address.
        started_ms: Its start.
        control: Index of the control VM that it calls.
        state: What it announces.
        is_running: Whether its process runs.
        flows: Flows that it holds.
        leaves_s: When it deregisters.
        connections: Starts announced on each open connection to a control VM, by its index.
        keeps_connections: Whether it uses a connection for more than one call.
        sent_s: When its last call was sent; None where it was answered.
        call: Its last call.
    """

    identity: str
    host: str
    started_ms: int
    control: int
    keeps_connections: bool
    state: roster.State = READY
    is_running: bool = True
    sequence: int = 0
    flows: set = attrs.field(factory=set)
    leaves_s: float = float("inf")
    connections: dict = attrs.field(factory=dict)
    due_s: float = 0.0
    sent_s: float | None = None
    call: str = ""


class Registry:
    """Control VMs that gossip, an entry VM that follows them, and targets that restart.

    Attributes:
        resets: Flows that the entry VM reset though the process that held them ran.
        told: Flows whose callers were told that they have ended.
    """

    def __init__(self, *, seed=1, target_count=3, keeps_connections=True):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.keeps_connections = keeps_connections
        self.links = {}
        self.controls = {name: self._make_control(name) for name in CONTROLS}
        self.subscribers = {name: coordinator.Subscriber() for name in CONTROLS}
        self.view = subscription.Subscription(
            seeds=CONTROLS, contact_s=3 * INTERVAL_S, retain_s=60.0, rng=self.rng, now_s=0.0
        )
        self.entry = steering.Steering(view=self.view, rng=self.rng)
        self.lifetimes = []
        self.running = {}
        self.flow_count = 0
        self.lost_s = -1e9
        self.resets, self.told = [], set()
        for number in range(1, target_count + 1):
            self.start(f"i-{number}")
        self.view.apply_update(
            CONTROLS[0],
            feed.Update(number=1, content=RULES, is_current=True, is_complete=True),
            self.now_s,
        )
        self.run(3 * INTERVAL_S)

    def _make_control(self, name):
        targets = roster.Roster(silent_after_s=3 * INTERVAL_S, retain_s=60.0)
        return coordinator.Coordinator(
            name=name,
            seeds=CONTROLS,
            targets=targets,
            announcement_interval_s=INTERVAL_S,
            now_s=self.now_s,
        )

    # Links

    def link(self, sender, recipient):
        return self.links.setdefault((sender, recipient), Link())

    def hold(self, sender, recipient):
        self.link(sender, recipient).is_held = True

    def release(self, sender, recipient):
        self.link(sender, recipient).is_held = False

    def heal(self):
        for link in self.links.values():
            link.is_held = False

    def _carry(self):
        for link in list(self.links.values()):
            while link.waiting and not link.is_held:
                deliver, *values = link.waiting.pop(0)
                deliver(*values)

    # Targets

    def start(self, identity):
        """Starts a target, or starts it again under its name and at its address."""
        lifetime = Lifetime(
            identity=identity,
            host=f"10.0.0.{identity[2:]}",
            started_ms=int(self.now_s * 1000),
            control=self.rng.randrange(len(CONTROLS)),
            keeps_connections=self.keeps_connections,
            due_s=self.now_s,
        )
        self.lifetimes.append(lifetime)
        self.running[identity] = lifetime
        return lifetime

    def crash(self, identity):
        lifetime = self.running.pop(identity)
        lifetime.is_running = False

    def leave(self, identity):
        """Starts a planned stop."""
        lifetime = self.running[identity]
        lifetime.state, lifetime.due_s = DRAINING, self.now_s
        lifetime.leaves_s = self.now_s + DRAIN_S

    def _tick_target(self, lifetime):
        if lifetime.sent_s is not None and self.now_s - lifetime.sent_s > ANSWER_LIMIT_S:
            lifetime.connections.pop(lifetime.control, None)
            lifetime.control = (lifetime.control + 1) % len(CONTROLS)
            self._send_call(lifetime)
        elif lifetime.sent_s is None and self.now_s >= lifetime.leaves_s:
            lifetime.call = "DELETE"
            self._send_call(lifetime)
        elif lifetime.sent_s is None and self.now_s >= lifetime.due_s:
            lifetime.call = "PUT"
            self._send_call(lifetime)

    def _send_call(self, lifetime):
        name = CONTROLS[lifetime.control]
        lifetime.sent_s = self.now_s
        connection = lifetime.connections.setdefault(lifetime.control, {})
        if not lifetime.keeps_connections:
            del lifetime.connections[lifetime.control]
        record = None
        if lifetime.call == "PUT":
            lifetime.sequence += 1
            lifetime.due_s = self.now_s + INTERVAL_S
            record = roster.Target(
                identity=lifetime.identity,
                started_ms=lifetime.started_ms,
                sequence=lifetime.sequence,
                service="ledger",
                address=(lifetime.host, 80),
                zone="a",
                slot_count=1000,
                state=lifetime.state,
            )
        call = (self._take_call, lifetime, name, record, connection, lifetime.sent_s)
        self.link(lifetime.identity, name).waiting.append(call)

    def _take_call(self, lifetime, name, record, connection, sent_s):
        control = self.controls[name]
        if record is not None:
            connection["started_ms"] = record.started_ms
            control.announce(record, self.now_s)
        elif not control.deregister(lifetime.identity, self.now_s, connection.get("started_ms")):
            return
        if lifetime.is_running and lifetime.sent_s == sent_s:
            lifetime.sent_s = None
            if record is None:
                lifetime.is_running = False
                self.running.pop(lifetime.identity, None)

    # Control VMs

    def _tick_control(self, name):
        control = self.controls[name]
        control.tick(self.now_s)
        gossip = control.take_gossip(self.now_s)
        for other in CONTROLS:
            if gossip is not None and other != name:
                data = feed.encode(gossip, self.now_s)
                self.link(name, other).waiting.append((self._take_gossip, other, data))
        update = control.update_for(self.subscribers[name], self.now_s)
        if update is not None:
            data = feed.encode(attrs.evolve(update, number=1, is_current=True), self.now_s)
            self.link(name, ENTRY).waiting.append((self._take_update, name, data))

    def _take_gossip(self, name, data):
        update = feed.decode(data, name, self.now_s)
        self.controls[name].receive_gossip(update, self.now_s)

    def _take_update(self, name, data):
        self.view.apply_update(name, feed.decode(data, name, self.now_s), self.now_s)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for lifetime in list(self.running.values()):
                self._tick_target(lifetime)
            for name in CONTROLS:
                self._tick_control(name)
            self._carry()
            self.view.tick(self.now_s)
            self.entry.tick(self.now_s)

    def states(self, identity):
        """Returns what the control VMs and the entry VM take a target's state for."""
        rosters = [*(c.targets for c in self.controls.values()), self.view.targets]
        return {found.find(identity).target.state for found in rosters}

    # Flows

    def _packet(self, flow, kind=steering.Kind.DATA, **values):
        packet = steering.Packet(flow=flow, route=ROUTE, kind=kind, **values)
        return self.entry.steer(packet, self.now_s)

    def open_flow(self):
        """Opens a flow; returns it with its token, or None where no process took it."""
        self.flow_count += 1
        flow = self.flow_count.to_bytes(12, "big")
        found = self._packet(flow, steering.Kind.OPENING, token=0)
        holder = None if isinstance(found, errors.Nothing) else self.running.get(found.identity)
        if holder is None:
            return None
        holder.flows.add(flow)
        self._packet(flow, token=found.token, acknowledged=1)
        return flow, found.token

    def ask(self, flow, token, sequence, is_lost=False):
        """Sends a request on a flow; its first copy may be lost, if none was lost lately.

        The target answers, or resets a flow that it does not hold; a caller without an answer sends
        the request again.
        """
        is_lost = is_lost and self.now_s - self.lost_s >= LOSS_GAP_S
        if is_lost:
            self.lost_s = self.now_s
        for delay_s in (0.0, 0.2, 0.4):
            self.run(delay_s)
            found = self._packet(
                flow, token=token, sequence=sequence, acknowledged=sequence, has_payload=True
            )
            if found is steering.RESET_UNRESPONSIVE:
                self.told.add(flow)
                self.resets += [flow for it in self.running.values() if flow in it.flows]
                return
            holder = self.running.get(getattr(found, "identity", ""))
            if is_lost or holder is None:
                is_lost = False
                continue
            if flow not in holder.flows:
                self.told.add(flow)
                return
            self._packet(flow, sequence=sequence + 1, token=token, acknowledged=sequence + 1)
            return
