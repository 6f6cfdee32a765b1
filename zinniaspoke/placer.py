"""The placer of a service: picks targets with exact counts, holds, retries and refuses."""

import math

import attrs

from zinniaspoke import (
    copies,
    core_state,
    ejection,
    errors,
    events,
    loads,
    packets,
    pending,
    placement,
    retry,
    rules,
    targets,
)

LONG_FLOW_AGE_S = 0.5
ROUND_TRIP_GAIN = 0.05
SPARE_FACTOR = 6.0
REFUSAL_LOG_S = 1.0
PLACEMENT_AGE_S = 900.0
RECONCILE_S = 1.0
SWEEP_SLICE_COUNT = 500


@attrs.define(kw_only=True, slots=True)
class Placement:
    """A flow that this placer placed or learnt of.

    Attributes:
        flow: The flow's key.
        target: Its target.
        is_long: Whether its work counts as long.
        opened_s: When it was placed.
        home_id: The flow's home.
        opening: The opening packet, until the target has answered.
        sent_s: When the opening was last given to a new target.
        attempt_count: Targets tried.
        cancelled_tags: Targets whose attempt was cancelled.
        sequence: Sequence number after the target's first answer.
    """

    flow: bytes
    target: targets.Target
    is_long: bool
    opened_s: float
    home_id: int
    opening: packets.Packet | None = None
    sent_s: float = 0.0
    attempt_count: int = 1
    cancelled_tags: tuple[int, ...] = ()
    sequence: int = 0

    @property
    def is_answered(self) -> bool:
        """Whether the target has answered the opening."""
        return self.opening is None


class Placer:
    """Places the flows of the services whose placer this entry VM is."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        copy_sender: copies.CopySender,
        policy: placement.Policy,
        now_s: float,
    ) -> None:
        """Connects the placer.

        Args:
            state: What the parts of the core share.
            copy_sender: Sends copies of flows whose home is gone.
            policy: Chooses among them.
            now_s: Current time.
        """
        self._members = state.members
        self._table = state.target_table
        self._copy_sender = copy_sender
        self._policy = policy
        self._out = state.out
        self._checks = state.checks
        self._counts = state.counts
        self._recorder = state.level_recorder
        self._budget = retry.RetryBudget(now_s=now_s)
        self._queues: dict[str, pending.PendingQueue] = {}
        self._placements: dict[bytes, Placement] = {}
        self._sweep: list[bytes] = []
        self._guarded_ids: set[int] = set()
        self._reconciled_s = now_s
        self._caller_round_trip_s = 0.0
        self._refusal_logged_s = -1e9
        self.loads: dict[int, loads.TargetLoad] = {}

    def __len__(self) -> int:
        return len(self._placements)

    def get(self, flow: bytes) -> Placement | None:
        """Finds a placement.

        Args:
            flow: The flow's key.

        Returns:
            The placement, or None.
        """
        return self._placements.get(flow)

    def load_of(self, target: targets.Target) -> loads.TargetLoad:
        """Returns what is counted of a target.

        Args:
            target: Which target.
        """
        load = self.loads.get(target.tag)
        if load is None:
            load = self.loads[target.tag] = loads.TargetLoad(target=target)
        return load

    def open(
        self, packet: packets.Packet, rule: rules.Rule, home_id: int, is_fresh: bool, now_s: float
    ) -> None:
        """Places an opening packet, or repeats it where it was placed before.

        Args:
            packet: The opening packet.
            rule: The rule that it matched.
            home_id: The flow's home.
            is_fresh: Whether an earlier flow of the same 5-tuple has ended.
            now_s: Current time.
        """
        flow = packet.caller_flow
        placed = self._placements.get(flow)
        if placed is not None and not (is_fresh and placed.is_answered):
            self._repeat(placed, packet, now_s)
            return
        if placed is not None:
            self._end(placed, now_s)
        queue = self._queue(rule.service)
        if flow in queue:
            queue.refresh(flow, packet)
            return
        self._budget.note_opening()
        waiting = pending.PendingOpening(packet=packet, rule=rule, home_id=home_id, since_s=now_s)
        if not queue.heads(now_s) and self._place(waiting, now_s):
            return
        self._hold(queue, waiting, now_s)

    def _queue(self, service: str) -> pending.PendingQueue:
        return self._queues.setdefault(service, pending.PendingQueue())

    def _hold(
        self, queue: pending.PendingQueue, waiting: pending.PendingOpening, now_s: float
    ) -> None:
        service = waiting.rule.service
        slot_count = sum(s.target.slot_count for s in self._table.of_service(service))
        if not queue.accepts(waiting.rule, slot_count):
            self._refuse(waiting, "queue", now_s)
            return
        queue.push(waiting)
        self._counts.events["openings_held"] += 1
        self._pump(service, now_s)

    def _pump(self, service: str, now_s: float) -> None:
        """Places waiting openings while slots are free."""
        queue = self._queues.get(service)
        while queue:
            placed = next((w for w in queue.heads(now_s) if self._place(w, now_s)), None)
            if placed is None:
                return
            queue.remove(placed)

    def _refuse(self, waiting: pending.PendingOpening, why: str, now_s: float) -> None:
        packet = waiting.packet
        placed = self._placements.get(packet.caller_flow)
        is_safe = placed is None or not placed.is_answered
        promise = "a refusal only where the handshake never completed"
        if not self._checks.holds(is_safe, promise, packet.caller_flow):
            return
        self._counts.events[f"refused_{why}"] += 1
        self._recorder.record_refused(waiting.rule.service, now_s)
        if now_s - self._refusal_logged_s >= REFUSAL_LOG_S:
            self._refusal_logged_s = now_s
            self._out.log(events.FLOW_REFUSED, waiting.rule.service, f"{why}; first this second")
        if packet.protocol == packets.TCP:
            self._out.send_to_fabric(packets.build_reset_reply(packet))

    def _candidates(self, service: str, now_s: float) -> list[placement.Candidate]:
        found = [
            placement.Candidate(state=state, load=self.load_of(state.target))
            for state in self._table.of_service(service)
            if state.accepts_new_flows(now_s)
        ]
        below = [c for c in found if c.load.open_count < c.load.target.connection_limit]
        return ejection.keep_usable(below, now_s)

    def _choose(
        self,
        packet: packets.Packet,
        service: str,
        is_long: bool,
        avoid_tags: tuple[int, ...],
        now_s: float,
    ) -> targets.Target | errors.Nothing:
        candidates = self._candidates(service, now_s)
        others = [c for c in candidates if c.state.target.tag not in avoid_tags]
        if not others:
            return errors.Nothing(reason="no_target")
        request = placement.Request(
            flow=packet.caller_flow,
            is_long=is_long,
            now_s=now_s,
            spare_count=self._spare_count(service, candidates, now_s),
        )
        return self._policy.choose(request, others)

    def _spare_count(
        self, service: str, candidates: list[placement.Candidate], now_s: float
    ) -> int:
        """Returns how many flows may go beyond the slots; none while long work is due."""
        queue = self._queue(service)
        if queue.is_long_impatient(now_s):
            return 0
        slot_count = sum(c.load.target.slot_count for c in candidates)
        share = queue.idle_share(self._caller_round_trip_s)
        return math.ceil(SPARE_FACTOR * slot_count * share / (1.0 - share))

    def note_caller_round_trip(self, elapsed_s: float) -> None:
        """Notes the time between an answer to a caller and the caller's next packet.

        Args:
            elapsed_s: Measured as the home of a flow.
        """
        difference_s = elapsed_s - self._caller_round_trip_s
        self._caller_round_trip_s += ROUND_TRIP_GAIN * difference_s

    def _place(self, waiting: pending.PendingOpening, now_s: float) -> bool:
        packet, rule = waiting.packet, waiting.rule
        target = self._choose(packet, rule.service, rule.is_long, (), now_s)
        if not target:
            return False
        placed = Placement(
            flow=packet.caller_flow,
            target=target,
            is_long=rule.is_long,
            opened_s=now_s,
            home_id=waiting.home_id,
            opening=packet,
        )
        self._placements[placed.flow] = placed
        self._give(placed, target, rule.service, now_s)
        return True

    def _give(self, placed: Placement, target: targets.Target, service: str, now_s: float) -> None:
        """Sends an unanswered placement's opening to a target that was just chosen."""
        state = self._table.states.get(target.tag)
        is_ready = state is not None and state.accepts_new_flows(now_s)
        flow = placed.flow
        if not self._checks.holds(is_ready, "no new work on a leaving target", flow):
            return
        if not self._checks.holds(target.service == service, "only the own service", flow):
            return
        placed.target = target
        placed.sent_s = now_s
        load = self.load_of(target)
        load.add(placed.is_long, 1)
        load.unanswered_count += 1
        load.placed_count += 1
        self._out.send_to_target(target, placed.opening.raw)

    def _repeat(self, placed: Placement, packet: packets.Packet, now_s: float) -> None:
        if placed.is_answered:
            self._out.send_to_target(placed.target, packet.raw)
            return
        placed.opening = packet
        state = self._table.states.get(placed.target.tag)
        is_leaving = state is None or not state.accepts_new_flows(now_s)
        if not is_leaving and now_s - placed.sent_s < retry.RETRY_AFTER_S:
            self._out.send_to_target(placed.target, packet.raw)
            return
        if not is_leaving:
            self._note_failure(placed.target, now_s)
        if self._retry(placed, is_leaving, now_s):
            return
        if not is_leaving:
            self._out.send_to_target(placed.target, packet.raw)

    def _note_failure(self, target: targets.Target, now_s: float) -> None:
        if ejection.note_failure(self.load_of(target), now_s):
            self._out.log(events.TARGET_EJECTED, target.name, "openings failed in a row")

    def _retry(self, placed: Placement, is_free: bool, now_s: float) -> bool:
        """Moves an unanswered opening to another target after cancelling the first."""
        packet = placed.opening
        if packet.payload_bytes or placed.attempt_count >= retry.ATTEMPT_LIMIT:
            return False
        avoid = (*placed.cancelled_tags, placed.target.tag)
        service = placed.target.service
        target = self._choose(packet, service, placed.is_long, avoid, now_s)
        if not target or not (is_free or self._budget.spend(now_s)):
            return False
        self._cancel(placed)
        placed.attempt_count += 1
        self._counts.events["retries"] += 1
        self._give(placed, target, service, now_s)
        return True

    def _cancel(self, placed: Placement) -> None:
        load = self.load_of(placed.target)
        load.add(placed.is_long, -1)
        load.unanswered_count = max(0, load.unanswered_count - 1)
        placed.cancelled_tags = (*placed.cancelled_tags, placed.target.tag)
        if placed.opening.protocol == packets.TCP:
            self._out.send_to_target(placed.target, packets.build_opening_reset(placed.opening))

    def note_answer(
        self, packet: packets.Packet, target: targets.Target, home_id: int, now_s: float
    ) -> bool:
        """Takes in a target's first answer.

        Args:
            packet: The answer.
            target: Where it came from.
            home_id: The flow's home, which showed it.
            now_s: Current time.

        Returns:
            False where the answer came from a cancelled attempt and must not reach the caller.
        """
        flow = packet.return_flow
        placed = self._placements.get(flow)
        if placed is None:
            placed = Placement(
                flow=flow, target=target, is_long=False, opened_s=now_s, home_id=home_id
            )
            self._placements[flow] = placed
            self.load_of(target).add(False, 1)
        elif placed.target.tag != target.tag:
            if not placed.is_answered and target.tag in placed.cancelled_tags:
                return False
            self._follow_home(placed, target)
        if not placed.is_answered:
            load = self.load_of(target)
            load.unanswered_count = max(0, load.unanswered_count - 1)
            load.note_answer(now_s - placed.sent_s, now_s)
            self._queue(target.service).note_answer(now_s - placed.sent_s)
            placed.opening = None
        placed.home_id = home_id
        placed.sequence = packet.next_sequence if packet.protocol == packets.TCP else 0
        return True

    def _follow_home(self, placed: Placement, target: targets.Target) -> None:
        """Takes the home's word where another placer placed the flow."""
        old = self.load_of(placed.target)
        old.add(placed.is_long, -1)
        if not placed.is_answered:
            old.unanswered_count = max(0, old.unanswered_count - 1)
            self.load_of(target).unanswered_count += 1
        self.load_of(target).add(placed.is_long, 1)
        placed.target = target

    def note_refused(self, packet: packets.Packet, target: targets.Target, now_s: float) -> bool:
        """Takes in a target's reset of an opening that it never answered.

        Args:
            packet: The reset.
            target: Where it came from.
            now_s: Current time.

        Returns:
            True where the flow goes on: another target was tried, or the reset belongs to a
            cancelled attempt; False where the caller has to see the reset.
        """
        placed = self._placements.get(packet.return_flow)
        if placed is None or placed.is_answered:
            return False
        if placed.target.tag != target.tag:
            return True
        self._note_failure(target, now_s)
        if self._retry(placed, False, now_s):
            return True
        self._end(placed, now_s)
        return False

    def note_end(self, flow: bytes, target: targets.Target, now_s: float) -> None:
        """Takes in the end of a flow.

        Args:
            flow: The flow's key.
            target: Its target.
            now_s: Current time.
        """
        placed = self._placements.get(flow)
        if placed is not None and placed.target.tag == target.tag:
            self._end(placed, now_s)
        elif placed is None:
            self.load_of(target).add(False, -1)
            self._pump(target.service, now_s)

    def cancel(self, packet: packets.Packet, now_s: float) -> None:
        """Takes back an opening because its caller went away.

        Args:
            packet: The caller's reset.
            now_s: Current time.
        """
        flow = packet.caller_flow
        for queue in self._queues.values():
            if queue.cancel(flow):
                return
        placed = self._placements.get(flow)
        if placed is None:
            return
        self._out.send_to_target(placed.target, packet.raw)
        self._end(placed, now_s)

    def _end(self, placed: Placement, now_s: float) -> None:
        load = self.load_of(placed.target)
        load.add(placed.is_long, -1)
        if not placed.is_answered:
            load.unanswered_count = max(0, load.unanswered_count - 1)
        del self._placements[placed.flow]
        service = placed.target.service
        self._queue(service).note_work(now_s - placed.opened_s)
        self._pump(service, now_s)

    def take_over(self, services: frozenset[str], live_ids: frozenset[int]) -> None:
        """Starts placing for services from what the homes reported.

        Args:
            services: Services whose placer this VM has become.
            live_ids: Homes whose reports count.
        """
        for load in self.loads.values():
            if load.target.service not in services:
                continue
            reports = [r for i, r in load.reports.items() if i in live_ids]
            load.short_count = max(load.short_count, sum(r.short_count for r in reports))
            load.long_count = max(load.long_count, sum(r.long_count for r in reports))

    def tick(self, now_s: float, live_ids: frozenset[int]) -> None:
        """Refuses what waited too long, places what can be, and sweeps a slice.

        Args:
            now_s: Current time.
            live_ids: Homes whose reports count.
        """
        for service, queue in self._queues.items():
            for waiting in queue.expire(now_s):
                self._refuse(waiting, "wait", now_s)
            self._pump(service, now_s)
        if not self._policy.is_local and now_s - self._reconciled_s >= RECONCILE_S:
            self._reconciled_s = now_s
            for load in self.loads.values():
                load.reconcile(live_ids)
        self._sweep_slice(now_s)

    def _sweep_slice(self, now_s: float) -> None:
        if not self._sweep:
            self._sweep = list(self._placements)
            self._sweep.reverse()
            self._guarded_ids = {*self._members.reachable_ids, self._members.own.id}
        for flow in self._sweep[-SWEEP_SLICE_COUNT:]:
            placed = self._placements.get(flow)
            if placed is not None:
                self._age(placed, now_s)
        del self._sweep[-SWEEP_SLICE_COUNT:]

    def _guard(self, placed: Placement) -> None:
        """Offers a copy of a flow whose home is gone; this VM may be all that knows it."""
        if not placed.is_answered or placed.home_id in self._guarded_ids:
            return
        self._copy_sender.enqueue(
            copies.Copy(
                flow=placed.flow,
                target=placed.target,
                sequence=placed.sequence,
                is_long=placed.is_long,
                is_urgent=True,
            )
        )
        placed.home_id = self._members.home_id(placed.flow)

    def _age(self, placed: Placement, now_s: float) -> None:
        self._guard(placed)
        age_s = now_s - placed.opened_s
        if placed.is_answered and not placed.is_long and age_s > LONG_FLOW_AGE_S:
            load = self.load_of(placed.target)
            load.add(False, -1)
            placed.is_long = True
            load.add(True, 1)
        if age_s > PLACEMENT_AGE_S or (not placed.is_answered and age_s > 60.0):
            self._end(placed, now_s)

    def forget_target(self, target: targets.Target) -> None:
        """Drops the counts of a target that is gone.

        Args:
            target: Which target.
        """
        self.loads.pop(target.tag, None)

    @property
    def waiting_count(self) -> int:
        """Openings that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())
