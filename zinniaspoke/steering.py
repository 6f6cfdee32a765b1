"""The path of a caller's packet to a target, located by routing tokens instead of flow tables.

A target answers its caller directly. The token that an opening is given comes back with every
later packet of the flow, so any entry VM finds the flow's target without a word to another.
"""

import collections
import enum
import random

import attrs

from zinniaspoke import (
    backlog,
    choosing,
    counters,
    errors,
    hashing,
    packets,
    roster,
    rules,
    subscription,
)

# Callers repeat an opening after 0.2 s; what comes sooner was held up on the way here.
REPEAT_LEAST_S = 0.15
# Callers repeat an opening this long after the first, and then give the attempt up.
REPEATED_AFTER_S = (0.0, 0.2, 0.6)
ATTEMPT_S = 1.4
# A target that is there answers an opening within a few round trips. One that was refused, was
# lost or came too late for its caller holds no place for longer; a repeat counts again.
OPENING_LOAD_S = 0.2
# A flow without packets for this long runs no work that counts as load: work takes well under
# a second and a download is acknowledged all the while.
LOAD_IDLE_S = 2.0
# Records only bridge the handshake and late copies; after that the token is enough.
RECORD_KEEP_S = 15.0
CLOSED_KEEP_S = 3.0
SWEEP_S = 0.5

REFUSED_NO_ROUTE = errors.Nothing(reason="refused_no_route")
REFUSED_NO_TARGET = errors.Nothing(reason="refused_no_target")
DROPPED_UNKNOWN_TOKEN = errors.Nothing(reason="dropped_unknown_token")
DROPPED_NOT_READY = errors.Nothing(reason="dropped_not_ready")
DROPPED_NOT_FRESH = errors.Nothing(reason="dropped_not_fresh")
DROPPED_WAITED_TOO_LONG = errors.Nothing(reason="dropped_waited_too_long")
DROPPED_RULES_CHANGED = errors.Nothing(reason="dropped_rules_changed")
REFUSALS = (REFUSED_NO_ROUTE, REFUSED_NO_TARGET, backlog.TOO_MANY)
NO_PLACE = errors.Nothing(reason="no_place")
# Not an end: the opening is sent on later.
WAITING = errors.Nothing(reason="waiting_for_place")


class Kind(enum.Enum):
    """What a packet does to its flow."""

    OPENING = "opening"
    DATA = "data"
    END = "end"
    RESET = "reset"


@attrs.define(kw_only=True, slots=True)
class Packet:
    """What steering looks at.

    Attributes:
        flow: Key of the flow: both ends.
        route: Service address and port, packed.
        kind: What it does to the flow.
        token: The routing token that it carries; 0 for none.
        acknowledged: How far the caller has the target's bytes, as a number that only moves on.
        has_payload: Whether it carries bytes of the caller.
        retransmit_count: Of an opening, how many the caller sent before.
        datagram: The packet as it came.
    """

    flow: bytes
    route: bytes
    kind: Kind
    token: int
    acknowledged: int = 0
    has_payload: bool = False
    retransmit_count: int = 0
    datagram: bytes = b""


class Stage(enum.Enum):
    """How far a flow got, as seen here."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


@attrs.define(kw_only=True, slots=True)
class Flow:
    """A record of a flow, soft.

    Attributes:
        target: Where it goes.
        load: The target's load, raised by this flow while ``is_counted``.
        stage: How far it got.
        sent_s: When its opening was last sent.
        since_s: When it began to count as load.
        seen_s: When its last packet came.
        acknowledged: How far the caller had the target's bytes by that packet.
        is_counted: Whether it counts as load: it is being opened, or work is under way.
    """

    target: roster.Target
    load: choosing.Load
    stage: Stage
    sent_s: float
    since_s: float
    seen_s: float
    acknowledged: int = 0
    is_counted: bool = True


class Steering:
    """Decides where each packet goes; sends nothing itself."""

    def __init__(
        self,
        *,
        view: subscription.Subscription,
        rng: random.Random,
        policy: str = choosing.DEFAULT_POLICY,
    ) -> None:
        """Starts without flows.

        Args:
            view: Rules and targets.
            rng: Seeded random source.
            policy: Name of the placement policy.
        """
        self._view = view
        self._choose = choosing.create(policy, rng)
        self.counters = counters.Counters()
        self.newly_suspected: list[roster.Target] = []
        self._flows: dict[bytes, Flow] = {}
        self._loads: dict[int, choosing.Load] = {}
        self._by_token: dict[int, roster.Target] = {}
        self._by_service: dict[str, list[choosing.Load]] = {}
        self._backlogs = collections.defaultdict(backlog.Backlog)
        self._given_up: list[tuple[Packet, errors.Nothing]] = []
        # Openings that count as load, in the order in which they were sent.
        self._sent = collections.deque[tuple[float, Flow]]()
        self._revision = -1
        self._swept_s = 0.0

    def __len__(self) -> int:
        return len(self._flows)

    def explain(self, flow_key: bytes) -> str:
        """Tells on what a flow's last decision rests, for the log.

        Args:
            flow_key: The flow.
        """
        flow = self._flows.get(flow_key)
        if flow is None:
            return "no record"
        load = flow.load
        return (
            f"target {flow.target.identity} at {flow.target.address[0]} for {flow.target.service}, "
            f"{load.running_count} open, {load.failure_count} unanswered"
        )

    def _refresh(self) -> None:
        """Builds the look-up tables anew after a change of targets or rules."""
        self._revision = self._view.revision
        self._by_token = {}
        self._by_service = {}
        entries = sorted(self._view.targets.entries(), key=lambda e: e.target.started_ms)
        for entry in entries:
            target = entry.target
            # Of two targets with one token the earlier keeps it; the other gets no flows.
            if self._by_token.setdefault(target.token, target) is not target:
                continue
            load = self._loads.get(target.token)
            if load is None:
                load = self._loads[target.token] = choosing.Load(target=target)
            load.target = target
            load.is_silent = not self._view.is_alive(target.identity)
            if target.state is roster.State.READY:
                self._by_service.setdefault(target.service, []).append(load)
        for token in self._loads.keys() - self._by_token.keys():
            del self._loads[token]

    def steer(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        """Decides where a caller's packet goes.

        Args:
            packet: The packet.
            now_s: Current time.

        Returns:
            The target, or the reason why there is none; those in ``REFUSALS`` are told the caller.
        """
        if self._revision != self._view.revision:
            self._refresh()
        if packet.kind is Kind.OPENING:
            return self._steer_opening(packet, now_s)
        flow = self._flows.get(packet.flow)
        if flow is None:
            return self._steer_unrecorded(packet)
        flow.seen_s = now_s
        if flow.stage is Stage.OPENING:
            self._bind(flow, packet, now_s)
        else:
            self._follow_work(flow, packet)
        if packet.kind is not Kind.DATA:
            self._close(flow)
        return flow.target

    def _steer_unrecorded(self, packet: Packet) -> roster.Target | errors.Nothing:
        if packet.kind is not Kind.DATA:
            for waiting in self._backlogs.values():
                waiting.forget(packet.flow)
        target = self._by_token.get(packet.token)
        return DROPPED_UNKNOWN_TOKEN if target is None else target

    # Openings

    def _steer_opening(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.stage is not Stage.CLOSED:
            return self._steer_repeat(flow, packet, now_s)
        if not self._view.is_ready(now_s):
            # Not a refusal: what is not known yet may be known when the caller repeats.
            return DROPPED_NOT_READY
        if not self._view.is_fresh(now_s):
            return DROPPED_NOT_FRESH
        rule = self._rule_of(packet)
        if isinstance(rule, errors.Nothing):
            return rule
        service = rule.service_for(hashing.short_hash(packet.flow))
        waiting = self._backlogs[service]
        if packet.flow in waiting:
            return WAITING
        if service not in self._by_service:
            return REFUSED_NO_TARGET
        load = NO_PLACE if waiting else self._place(service, now_s, avoid=None)
        if load is NO_PLACE:
            return self._wait(packet, service, rule.wait_s, now_s)
        if isinstance(load, errors.Nothing):
            return load
        return self._admit(packet, load, now_s)

    def _rule_of(self, packet: Packet) -> rules.Rule | errors.Nothing:
        found = self._view.rules.find(packets.TCP, packet.route[:4], packet.route[4:])
        return REFUSED_NO_ROUTE if isinstance(found, errors.Nothing) else found

    def _admit(self, packet: Packet, load: choosing.Load, now_s: float) -> roster.Target:
        load.running_count += 1
        flow = self._flows[packet.flow] = Flow(
            target=load.target,
            load=load,
            stage=Stage.OPENING,
            sent_s=now_s,
            since_s=now_s,
            seen_s=now_s,
        )
        self._sent.append((now_s, flow))
        return load.target

    def _place(
        self, service: str, now_s: float, avoid: choosing.Load | None
    ) -> choosing.Load | errors.Nothing:
        loads = [load for load in self._by_service.get(service, ()) if load is not avoid]
        if not loads:
            return REFUSED_NO_TARGET
        free = [load for load in choosing.usable(loads, now_s) if load.has_place]
        if not free:
            return NO_PLACE
        load = self._choose(free, now_s)
        load.placed_s = now_s
        return load

    # Openings that wait

    def _wait(self, packet: Packet, service: str, limit_s: float, now_s: float) -> errors.Nothing:
        """Bounded wait: what a target's queue would turn away is sent on a little later."""
        usable = choosing.usable(self._by_service[service], now_s)
        elapsed_s = REPEATED_AFTER_S[min(packet.retransmit_count, len(REPEATED_AFTER_S) - 1)]
        waiting = backlog.Waiting(
            flow=packet.flow,
            opening=packet,
            since_s=now_s,
            until_s=now_s + min(limit_s, ATTEMPT_S - elapsed_s),
        )
        place_count = sum(load.place_count for load in usable)
        hopeless = self._backlogs[service].add(waiting, place_count)
        self._give_up([w for w in hopeless if w is not waiting], backlog.TOO_MANY)
        return backlog.TOO_MANY if waiting in hopeless else WAITING

    def _give_up(self, waiting: list[backlog.Waiting], reason: errors.Nothing) -> None:
        self._given_up += [(w.opening, reason) for w in waiting]

    def take_rejected(self) -> list[tuple[Packet, errors.Nothing]]:
        """Returns openings that waited in vain, with the reason; see ``steer``."""
        given_up, self._given_up = self._given_up, []
        return given_up

    def take_released(self, now_s: float) -> list[tuple[Packet, roster.Target]]:
        """Returns openings that waited and have a place now.

        Args:
            now_s: Current time.
        """
        self._forget_unanswered(now_s)
        released = []
        if not self._view.is_fresh(now_s):
            return released
        if self._revision != self._view.revision:
            self._refresh()
        for service, waiting in self._backlogs.items():
            if waiting and service not in self._by_service:
                self._give_up(waiting.clear(), REFUSED_NO_TARGET)
            while waiting:
                load = self._place(service, now_s, avoid=None)
                if isinstance(load, errors.Nothing):
                    break
                entry = waiting.pop()
                rule = self._rule_of(entry.opening)
                flow_hash = hashing.short_hash(entry.flow)
                if isinstance(rule, errors.Nothing) or rule.service_for(flow_hash) != service:
                    # The caller's next copy is decided by the new rules.
                    self._give_up([entry], DROPPED_RULES_CHANGED)
                    continue
                released.append((entry.opening, self._admit(entry.opening, load, now_s)))
                self.counters.histograms["opening_wait"].note(now_s - entry.since_s)
        return released

    def _steer_repeat(self, flow: Flow, packet: Packet, now_s: float) -> roster.Target:
        """A repeated opening goes on to another target only where the first did not answer."""
        flow.seen_s = now_s
        if flow.stage is Stage.OPEN or now_s - flow.sent_s < REPEAT_LEAST_S:
            return flow.target
        # A target that answered another opening meanwhile is there; this one was lost.
        is_mute = flow.load.answered_s < flow.sent_s
        if is_mute and flow.load.note_failure(now_s):
            self.newly_suspected.append(flow.target)
        flow.sent_s = now_s
        self._sent.append((now_s, flow))
        self._count(flow)
        other = self._place(flow.target.service, now_s, avoid=flow.load)
        if not isinstance(other, errors.Nothing):
            self._move(flow, other)
            self.counters.events["openings_moved"] += 1
        return flow.target

    def _move(self, flow: Flow, load: choosing.Load) -> None:
        if flow.is_counted:
            flow.load.running_count -= 1
            load.running_count += 1
        flow.load = load
        flow.target = load.target

    def _bind(self, flow: Flow, packet: Packet, now_s: float) -> None:
        """The first packet after the opening names the target that answered first."""
        answered = self._loads.get(packet.token)
        if answered is None:
            return
        if answered is not flow.load:
            self._move(flow, answered)
        flow.stage = Stage.OPEN
        self._count(flow)
        flow.acknowledged = packet.acknowledged
        answered.note_answer(now_s)
        self.counters.histograms["handshake"].note(now_s - flow.sent_s)
        self.counters.events["flows_opened"] += 1

    def _follow_work(self, flow: Flow, packet: Packet) -> None:
        """Work is under way from the caller's bytes until it has the first of the answer.

        What follows is only sent out by the target's kernel and takes none of its slots.
        """
        is_answered = packet.acknowledged != flow.acknowledged
        flow.acknowledged = packet.acknowledged
        if packet.has_payload:
            self._count(flow)
        elif is_answered:
            self._finish_work(flow)

    def _finish_work(self, flow: Flow) -> None:
        if flow.is_counted:
            held_s = flow.seen_s - flow.since_s
            self._backlogs[flow.target.service].note_duration(held_s)
        self._discount(flow)

    def _close(self, flow: Flow) -> None:
        if flow.stage is Stage.OPEN:
            self._finish_work(flow)
        flow.stage = Stage.CLOSED
        self._discount(flow)

    @staticmethod
    def _count(flow: Flow) -> None:
        if not flow.is_counted and flow.stage is not Stage.CLOSED:
            flow.is_counted = True
            flow.since_s = flow.seen_s
            flow.load.running_count += 1

    @staticmethod
    def _discount(flow: Flow) -> None:
        if flow.is_counted:
            flow.is_counted = False
            flow.load.running_count -= 1

    def _forget_unanswered(self, now_s: float) -> None:
        while self._sent and now_s - self._sent[0][0] > OPENING_LOAD_S:
            sent_s, flow = self._sent.popleft()
            if flow.stage is Stage.OPENING and flow.sent_s == sent_s and flow.is_counted:
                self._backlogs[flow.target.service].note_duration(now_s - sent_s)
                self._discount(flow)

    # Time

    def tick(self, now_s: float) -> None:
        """Forgets records that no packet needs any more.

        Args:
            now_s: Current time.
        """
        if now_s - self._swept_s < SWEEP_S:
            return
        self._swept_s = now_s
        for waiting in self._backlogs.values():
            self._give_up(waiting.expire(now_s), DROPPED_WAITED_TOO_LONG)
        for key, flow in list(self._flows.items()):
            idle_s = now_s - flow.seen_s
            if idle_s > LOAD_IDLE_S:
                self._discount(flow)
            keep_s = CLOSED_KEEP_S if flow.stage is Stage.CLOSED else RECORD_KEEP_S
            if idle_s > keep_s:
                del self._flows[key]
