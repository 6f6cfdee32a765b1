"""The path of a caller's packet to a target, located by routing tokens instead of flow tables.

A target answers its caller directly. The token that an opening is given comes back with every
later packet of the flow, so any entry VM finds the flow's target without a word to another.
"""

import enum
import random

import attrs

from zinniaspoke import choosing, counters, errors, hashing, packets, roster, subscription

# Callers repeat an opening after 0.2 s; what comes sooner was held up on the way here.
REPEAT_LEAST_S = 0.15
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
REFUSALS = (REFUSED_NO_ROUTE, REFUSED_NO_TARGET)


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
    """

    flow: bytes
    route: bytes
    kind: Kind
    token: int


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
        seen_s: When its last packet came.
        is_counted: Whether it counts as load.
    """

    target: roster.Target
    load: choosing.Load
    stage: Stage
    sent_s: float
    seen_s: float
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
        self.suspected: list[roster.Target] = []
        self._flows: dict[bytes, Flow] = {}
        self._loads: dict[int, choosing.Load] = {}
        self._by_token: dict[int, roster.Target] = {}
        self._by_service: dict[str, list[choosing.Load]] = {}
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
            f"{load.open_count} open, {load.failure_count} unanswered"
        )

    def _refresh(self) -> None:
        """Builds the look-up tables anew after a change of targets or rules."""
        self._revision = self._view.revision
        self._by_token = {}
        self._by_service = {}
        entries = sorted(self._view.targets.entries(), key=lambda e: e.target.born_ms)
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
            target = self._by_token.get(packet.token)
            return DROPPED_UNKNOWN_TOKEN if target is None else target
        flow.seen_s = now_s
        if flow.stage is Stage.OPENING:
            self._bind(flow, packet.token, now_s)
        if packet.kind is not Kind.DATA:
            self._close(flow)
        return flow.target

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
        load = self._place(packet, now_s, avoid=None)
        if isinstance(load, errors.Nothing):
            return load
        load.open_count += 1
        self._flows[packet.flow] = Flow(
            target=load.target, load=load, stage=Stage.OPENING, sent_s=now_s, seen_s=now_s
        )
        return load.target

    def _place(
        self, packet: Packet, now_s: float, avoid: choosing.Load | None
    ) -> choosing.Load | errors.Nothing:
        rule = self._view.rules.find(packets.TCP, packet.route[:4], packet.route[4:])
        if isinstance(rule, errors.Nothing):
            return REFUSED_NO_ROUTE
        service = rule.service_for(hashing.short_hash(packet.flow))
        loads = self._by_service.get(service, ())
        if avoid is not None:
            loads = [load for load in loads if load is not avoid]
        if not loads:
            return REFUSED_NO_TARGET
        load = self._choose(loads, now_s)
        load.placed_s = now_s
        return load

    def _steer_repeat(self, flow: Flow, packet: Packet, now_s: float) -> roster.Target:
        """A repeated opening goes on to another target only where the first did not answer."""
        flow.seen_s = now_s
        if flow.stage is Stage.OPEN or now_s - flow.sent_s < REPEAT_LEAST_S:
            return flow.target
        # A target that answered another opening meanwhile is there; this one was lost.
        is_mute = flow.load.answered_s < flow.sent_s
        if is_mute and flow.load.note_failure(now_s):
            self.suspected.append(flow.target)
        flow.sent_s = now_s
        other = self._place(packet, now_s, avoid=flow.load)
        if not isinstance(other, errors.Nothing):
            self._move(flow, other)
            self.counters.events["openings_moved"] += 1
        return flow.target

    def _move(self, flow: Flow, load: choosing.Load) -> None:
        if flow.is_counted:
            flow.load.open_count -= 1
            load.open_count += 1
        flow.load = load
        flow.target = load.target

    def _bind(self, flow: Flow, token: int, now_s: float) -> None:
        """The first packet after the opening names the target that answered first."""
        answered = self._loads.get(token)
        if answered is None:
            return
        if answered is not flow.load:
            self._move(flow, answered)
        flow.stage = Stage.OPEN
        answered.note_answer(now_s)
        self.counters.histograms["handshake"].note(now_s - flow.sent_s)
        self.counters.events["flows_opened"] += 1

    def _close(self, flow: Flow) -> None:
        flow.stage = Stage.CLOSED
        self._discount(flow)

    @staticmethod
    def _discount(flow: Flow) -> None:
        if flow.is_counted:
            flow.is_counted = False
            flow.load.open_count -= 1

    # Time

    def tick(self, now_s: float) -> None:
        """Forgets records that no packet needs any more.

        Args:
            now_s: Current time.
        """
        if now_s - self._swept_s < SWEEP_S:
            return
        self._swept_s = now_s
        for key, flow in list(self._flows.items()):
            idle_s = now_s - flow.seen_s
            if idle_s > LOAD_IDLE_S:
                self._discount(flow)
            keep_s = CLOSED_KEEP_S if flow.stage is Stage.CLOSED else RECORD_KEEP_S
            if idle_s > keep_s:
                del self._flows[key]
