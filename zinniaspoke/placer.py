"""The placer: assigns the new flows of a service to targets.

All openings of a service pass its placer, which therefore has exact counts of the flows at each
target. It queues an opening while no target has a free slot, retries an opening that a target does
not answer at another target, and refuses an opening that cannot be served in time.
"""

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
OVERCOMMIT_FACTOR = 6.0
REFUSAL_LOG_INTERVAL_S = 1.0
PLACEMENT_AGE_LIMIT_S = 900.0
RECONCILE_INTERVAL_S = 1.0
SWEEP_SLICE_COUNT = 500


@attrs.define(kw_only=True, slots=True)
class Placement:
    """A flow that this placer assigned to a target, or learnt of from an answer.

    Attributes:
        flow: The flow's key.
        target: The flow's target.
        is_long: Whether the flow counts as long work.
        opened_s: Time of the assignment.
        home_id: The flow's home.
        opening: The opening packet; None once the target has answered.
        sent_s: Time at which the opening was sent to the current target first.
        attempt_count: Number of targets tried.
        cancelled_tags: Tags of the targets whose attempts were cancelled.
        sequence: Sequence number that follows the target's first answer; 0 for UDP.
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
    """Assigns the flows of the services that this entry VM is the placer of."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        copy_sender: copies.CopySender,
        policy: placement.Policy,
        now_s: float,
    ) -> None:
        """Connects the placer to the other parts of the core.

        Args:
            state: State shared by the parts of the core.
            copy_sender: Sends copies of the flows whose home was lost.
            policy: Chooses among the candidate targets.
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
        self._retry_budget = retry.RetryBudget(now_s=now_s)
        self._queues: dict[str, pending.PendingQueue] = {}
        self._placements: dict[bytes, Placement] = {}
        self._sweep_keys: list[bytes] = []
        self._live_ids: set[int] = set()
        self._reconciled_s = now_s
        self._caller_round_trip_s = 0.0
        self._refusal_logged_s = -1e9
        self.loads: dict[int, loads.TargetLoad] = {}

    def __len__(self) -> int:
        return len(self._placements)

    def get(self, flow: bytes) -> Placement | None:
        """Looks up the placement of a flow.

        Args:
            flow: The flow's key.

        Returns:
            The placement, or None if this placer does not know the flow.
        """
        return self._placements.get(flow)

    def load_of(self, target: targets.Target) -> loads.TargetLoad:
        """Returns the counts of a target, creating them if needed.

        Args:
            target: The target.
        """
        load = self.loads.get(target.tag)
        if load is None:
            load = self.loads[target.tag] = loads.TargetLoad(target=target)
        return load

    def handle_opening(
        self, packet: packets.Packet, rule: rules.Rule, home_id: int, is_fresh: bool, now_s: float
    ) -> None:
        """Assigns an opening to a target or queues it; handles a retransmission.

        Args:
            packet: The opening packet.
            rule: The rule that the packet matched.
            home_id: The flow's home.
            is_fresh: Whether the home knows that an earlier flow of the same 5-tuple has ended.
            now_s: Current time.
        """
        flow = packet.caller_flow
        placed = self._placements.get(flow)
        if placed is not None and not (is_fresh and placed.is_answered):
            self._handle_retransmission(placed, packet, now_s)
            return
        if placed is not None:
            self._remove(placed, now_s)
        queue = self._queue(rule.service)
        if flow in queue:
            queue.update_packet(flow, packet)
            return
        self._retry_budget.deposit()
        waiting = pending.PendingOpening(packet=packet, rule=rule, home_id=home_id, since_s=now_s)
        if not queue.heads(now_s) and self._place(waiting, now_s):
            return
        self._enqueue(queue, waiting, now_s)

    def _queue(self, service: str) -> pending.PendingQueue:
        return self._queues.setdefault(service, pending.PendingQueue())

    def _enqueue(
        self, queue: pending.PendingQueue, waiting: pending.PendingOpening, now_s: float
    ) -> None:
        service = waiting.rule.service
        slot_count = sum(s.target.slot_count for s in self._table.of_service(service))
        if not queue.accepts(waiting.rule, slot_count):
            self._refuse(waiting, "queue", now_s)
            return
        queue.push(waiting)
        self._counts.events["openings_held"] += 1
        self._place_pending(service, now_s)

    def _place_pending(self, service: str, now_s: float) -> None:
        """Assigns pending openings for as long as slots are free."""
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
        promise = "an opening is refused only if its handshake never completed"
        if not self._checks.holds(is_safe, promise, packet.caller_flow):
            return
        self._counts.events[f"refused_{why}"] += 1
        self._recorder.record_refused(waiting.rule.service, now_s)
        if now_s - self._refusal_logged_s >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_s = now_s
            self._out.log(
                events.FLOW_REFUSED,
                waiting.rule.service,
                f"{why}; at most one refusal is logged per second",
            )
        if packet.protocol == packets.TCP:
            self._out.send_to_fabric(packets.build_reset_reply(packet))

    def _candidates(self, service: str, now_s: float) -> list[placement.Candidate]:
        found = [
            placement.Candidate(state=state, load=self.load_of(state.target))
            for state in self._table.of_service(service)
            if state.accepts_new_flows(now_s)
        ]
        below_limit = [c for c in found if c.load.open_count < c.load.target.connection_limit]
        return ejection.usable_candidates(below_limit, now_s)

    def _choose(
        self,
        packet: packets.Packet,
        service: str,
        is_long: bool,
        excluded_tags: tuple[int, ...],
        now_s: float,
    ) -> targets.Target | errors.Nothing:
        candidates = self._candidates(service, now_s)
        others = [c for c in candidates if c.state.target.tag not in excluded_tags]
        if not others:
            return errors.Nothing(reason="no_target")
        request = placement.Request(
            flow=packet.caller_flow,
            is_long=is_long,
            now_s=now_s,
            overcommit_limit=self._overcommit_limit(service, candidates, now_s),
        )
        return self._policy.choose(request, others)

    def _overcommit_limit(
        self, service: str, candidates: list[placement.Candidate], now_s: float
    ) -> int:
        """Returns how many flows may exceed the slots of all targets together.

        None may while an opening of long work is overdue.
        """
        queue = self._queue(service)
        if queue.is_long_overdue(now_s):
            return 0
        slot_count = sum(c.load.target.slot_count for c in candidates)
        share = queue.idle_share(self._caller_round_trip_s)
        return math.ceil(OVERCOMMIT_FACTOR * slot_count * share / (1.0 - share))

    def observe_caller_round_trip(self, elapsed_s: float) -> None:
        """Takes a sample of the round-trip time between this VM and the callers.

        Args:
            elapsed_s: Time from the answer to an opening until the caller's next packet, as
                measured by this VM as the flow's home.
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
        self._send_opening(placed, target, rule.service, now_s)
        return True

    def _send_opening(
        self, placed: Placement, target: targets.Target, service: str, now_s: float
    ) -> None:
        """Sends the opening of an unanswered placement to a newly chosen target."""
        state = self._table.states.get(target.tag)
        is_ready = state is not None and state.accepts_new_flows(now_s)
        flow = placed.flow
        if not self._checks.holds(is_ready, "no new flow on a leaving target", flow):
            return
        if not self._checks.holds(
            target.service == service, "a flow goes only to targets of its own service", flow
        ):
            return
        placed.target = target
        placed.sent_s = now_s
        load = self.load_of(target)
        load.add(placed.is_long, 1)
        load.unanswered_count += 1
        load.placed_count += 1
        self._out.send_to_target(target, placed.opening.raw)

    def _handle_retransmission(
        self, placed: Placement, packet: packets.Packet, now_s: float
    ) -> None:
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
            self._record_failure(placed.target, now_s)
        if self._retry(placed, is_leaving, now_s):
            return
        if not is_leaving:
            self._out.send_to_target(placed.target, packet.raw)

    def _record_failure(self, target: targets.Target, now_s: float) -> None:
        if ejection.record_failure(self.load_of(target), now_s):
            self._out.log(
                events.TARGET_EJECTED,
                target.name,
                "several consecutive openings failed",
            )

    def _retry(self, placed: Placement, is_exempt_from_budget: bool, now_s: float) -> bool:
        """Moves an unanswered opening to another target and cancels the previous attempt."""
        packet = placed.opening
        if packet.payload_bytes or placed.attempt_count >= retry.ATTEMPT_LIMIT:
            return False
        excluded = (*placed.cancelled_tags, placed.target.tag)
        service = placed.target.service
        target = self._choose(packet, service, placed.is_long, excluded, now_s)
        if not target or not (is_exempt_from_budget or self._retry_budget.try_withdraw(now_s)):
            return False
        self._cancel(placed)
        placed.attempt_count += 1
        self._counts.events["retries"] += 1
        self._send_opening(placed, target, service, now_s)
        return True

    def _cancel(self, placed: Placement) -> None:
        load = self.load_of(placed.target)
        load.add(placed.is_long, -1)
        load.unanswered_count = max(0, load.unanswered_count - 1)
        placed.cancelled_tags = (*placed.cancelled_tags, placed.target.tag)
        if placed.opening.protocol == packets.TCP:
            self._out.send_to_target(placed.target, packets.build_opening_reset(placed.opening))

    def handle_answer(
        self, packet: packets.Packet, target: targets.Target, home_id: int, now_s: float
    ) -> bool:
        """Handles a target's first answer to an opening.

        Args:
            packet: The answer.
            target: The target that sent it.
            home_id: The flow's home, which forwarded the answer.
            now_s: Current time.

        Returns:
            False if the answer belongs to a cancelled attempt and must not reach the caller.
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
            self._move_to_target(placed, target)
        if not placed.is_answered:
            load = self.load_of(target)
            load.unanswered_count = max(0, load.unanswered_count - 1)
            load.record_answer(now_s - placed.sent_s, now_s)
            self._queue(target.service).observe_answer_time(now_s - placed.sent_s)
            placed.opening = None
        placed.home_id = home_id
        placed.sequence = packet.next_sequence if packet.protocol == packets.TCP else 0
        return True

    def _move_to_target(self, placed: Placement, target: targets.Target) -> None:
        """Moves a placement to the target that the home reports, which another placer chose."""
        old = self.load_of(placed.target)
        old.add(placed.is_long, -1)
        if not placed.is_answered:
            old.unanswered_count = max(0, old.unanswered_count - 1)
            self.load_of(target).unanswered_count += 1
        self.load_of(target).add(placed.is_long, 1)
        placed.target = target

    def handle_refusal(self, packet: packets.Packet, target: targets.Target, now_s: float) -> bool:
        """Handles a target's reset of an opening that it has not answered.

        Args:
            packet: The reset.
            target: The target that sent it.
            now_s: Current time.

        Returns:
            True if the flow continues, since another target is tried or the reset belongs to a
            cancelled attempt; False if the reset has to be forwarded to the caller.
        """
        placed = self._placements.get(packet.return_flow)
        if placed is None or placed.is_answered:
            return False
        if placed.target.tag != target.tag:
            return True
        self._record_failure(target, now_s)
        if self._retry(placed, False, now_s):
            return True
        self._remove(placed, now_s)
        return False

    def handle_end(self, flow: bytes, target: targets.Target, now_s: float) -> None:
        """Counts the end of a flow.

        Args:
            flow: The flow's key.
            target: The flow's target.
            now_s: Current time.
        """
        placed = self._placements.get(flow)
        if placed is not None and placed.target.tag == target.tag:
            self._remove(placed, now_s)
        elif placed is None:
            self.load_of(target).add(False, -1)
            self._place_pending(target.service, now_s)

    def cancel_opening(self, packet: packets.Packet, now_s: float) -> None:
        """Cancels an opening that its caller has reset.

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
        self._remove(placed, now_s)

    def _remove(self, placed: Placement, now_s: float) -> None:
        load = self.load_of(placed.target)
        load.add(placed.is_long, -1)
        if not placed.is_answered:
            load.unanswered_count = max(0, load.unanswered_count - 1)
        del self._placements[placed.flow]
        service = placed.target.service
        self._queue(service).observe_duration(now_s - placed.opened_s)
        self._place_pending(service, now_s)

    def take_over(self, services: frozenset[str], live_ids: frozenset[int]) -> None:
        """Initialises the counts of newly acquired services from the homes' reports.

        Args:
            services: Services whose placer this VM has become.
            live_ids: Members whose reports are used.
        """
        for load in self.loads.values():
            if load.target.service not in services:
                continue
            reports = [r for i, r in load.reports.items() if i in live_ids]
            load.short_count = max(load.short_count, sum(r.short_count for r in reports))
            load.long_count = max(load.long_count, sum(r.long_count for r in reports))

    def tick(self, now_s: float, live_ids: frozenset[int]) -> None:
        """Expires and assigns pending openings, and ages a slice of the placements.

        Args:
            now_s: Current time.
            live_ids: Members whose reports are used.
        """
        for service, queue in self._queues.items():
            for waiting in queue.expire(now_s):
                self._refuse(waiting, "wait", now_s)
            self._place_pending(service, now_s)
        if not self._policy.is_local and now_s - self._reconciled_s >= RECONCILE_INTERVAL_S:
            self._reconciled_s = now_s
            for load in self.loads.values():
                load.reconcile(live_ids)
        self._sweep_slice(now_s)

    def _sweep_slice(self, now_s: float) -> None:
        if not self._sweep_keys:
            self._sweep_keys = list(self._placements)
            self._sweep_keys.reverse()
            self._live_ids = {*self._members.reachable_ids, self._members.own.id}
        for flow in self._sweep_keys[-SWEEP_SLICE_COUNT:]:
            placed = self._placements.get(flow)
            if placed is not None:
                self._apply_age_limits(placed, now_s)
        del self._sweep_keys[-SWEEP_SLICE_COUNT:]

    def _copy_if_home_lost(self, placed: Placement) -> None:
        """Queues a copy of a flow whose home was lost; no other VM may know its target."""
        if not placed.is_answered or placed.home_id in self._live_ids:
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

    def _apply_age_limits(self, placed: Placement, now_s: float) -> None:
        self._copy_if_home_lost(placed)
        age_s = now_s - placed.opened_s
        if placed.is_answered and not placed.is_long and age_s > LONG_FLOW_AGE_S:
            load = self.load_of(placed.target)
            load.add(False, -1)
            placed.is_long = True
            load.add(True, 1)
        if age_s > PLACEMENT_AGE_LIMIT_S or (not placed.is_answered and age_s > 60.0):
            self._remove(placed, now_s)

    def forget_target(self, target: targets.Target) -> None:
        """Removes the counts of a target.

        Args:
            target: The target.
        """
        self.loads.pop(target.tag, None)

    @property
    def waiting_count(self) -> int:
        """Number of openings that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())
