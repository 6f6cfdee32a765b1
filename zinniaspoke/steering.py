"""Forwards callers' packets to targets by routing token instead of by flow table.

An opening is the first packet of a flow, like a TCP SYN. The entry VM that forwards it writes the
chosen target's token into it, and both ends echo the token in every later packet, so any entry VM
finds the flow's target without asking another. Targets answer their callers directly.
"""

import random

from zinniaspoke import (
    accounting,
    backlog,
    callerpacket,
    choosing,
    coldshares,
    counters,
    errors,
    exchange,
    flowstate,
    hashing,
    hedging,
    loadtable,
    packets,
    resets,
    roster,
    rules,
    selection,
    subscription,
    zonechoice,
)

# Imported so that their steps are registered.
STEP_MODULES = (zonechoice,)
# Callers send an opening at these times after the first one, and time out at CONNECT_TIMEOUT_S.
RETRANSMIT_TIMES_S = (0.0, 0.2, 0.6)
CONNECT_TIMEOUT_S = 1.4
# A flow without packets for this long has no request in progress: requests take well under
# a second, and a caller keeps acknowledging a download.
IDLE_LOAD_TIMEOUT_S = 2.0
# Records are only needed during the handshake and for late retransmissions; after that the token
# identifies the target.
RECORD_TIMEOUT_S = 15.0
CLOSED_RECORD_TIMEOUT_S = 3.0
SWEEP_INTERVAL_S = 0.5

REFUSED_NO_ROUTE = errors.Nothing(reason="refused_no_route")
REFUSED_NO_TARGET = selection.REFUSED_NO_TARGET
DROPPED_UNKNOWN_TOKEN = errors.Nothing(reason="dropped_unknown_token")
DROPPED_NOT_READY = errors.Nothing(reason="dropped_not_ready")
DROPPED_NOT_FRESH = errors.Nothing(reason="dropped_not_fresh")
DROPPED_WAITED_TOO_LONG = errors.Nothing(reason="dropped_waited_too_long")
DROPPED_RULES_CHANGED = errors.Nothing(reason="dropped_rules_changed")
DROPPED_TAKEN_OVER = errors.Nothing(reason="dropped_target_taken_over")
DROPPED_COLD = errors.Nothing(reason="dropped_cold_target")
# Ends an open flow without promising anything about its request.
RESET_UNRESPONSIVE = errors.Nothing(reason="reset_unresponsive_target")
REFUSALS = (
    REFUSED_NO_ROUTE,
    REFUSED_NO_TARGET,
    selection.REFUSED_EVACUATED,
    backlog.REFUSED_TOO_MANY_WAITING,
)
NO_CAPACITY = selection.NO_CAPACITY
# Not final: the opening is queued and forwarded later.
WAITING = errors.Nothing(reason="waiting_for_place")


Kind = callerpacket.Kind
Packet = callerpacket.Packet


class Steering:
    """Chooses the target of each packet; does no I/O.

    Attributes:
        counters: Counters and histograms for the metrics.
    """

    def __init__(
        self,
        *,
        view: subscription.Subscription,
        rng: random.Random,
        policy: str = choosing.DEFAULT_POLICY,
        own_zone: str = "",
        hedge_share: float = 0.0,
        zone_preference: bool = False,
        holder: coldshares.Holder | None = None,
        shared: exchange.Exchange | None = None,
        counts: counters.Counters | None = None,
    ) -> None:
        """Starts without flows.

        Args:
            view: The rules and targets that this VM knows.
            rng: Seeded random source.
            policy: Name of the placement policy.
            own_zone: This VM's availability zone.
            hedge_share: Largest share of openings that may be hedged.
            zone_preference: Whether targets of that zone are preferred.
            holder: This VM's shares of cold targets; None where they have no limit.
            shared: Evidence about targets shared with other entry VMs, if it is.
            counts: Counters of this process; None for fresh ones.
        """
        self._view = view
        self._own_zone = own_zone
        self._hedger = hedging.Hedger(share=hedge_share)
        self._holder = holder
        self.counters = counters.Counters() if counts is None else counts
        context = selection.Context(
            view=view,
            rng=rng,
            own_zone=own_zone,
            zone_preference=zone_preference,
            holder=holder,
            shared=shared,
            counts=self.counters,
        )
        self._selector = selection.Selector(context=context, policy=policy)
        self._judge = resets.Judge()
        self._table = loadtable.LoadTable(view=view, judge=self._judge)
        self._accounting = accounting.Accounting(
            judge=self._judge,
            hedger=self._hedger,
            selector=self._selector,
            evidence=None if shared is None else shared.observer,
            counts=self.counters,
            own_zone=own_zone,
        )
        self._backlogs = self._accounting.backlogs
        self._flows: dict[bytes, flowstate.Flow] = {}
        self._rejected: list[tuple[Packet, errors.Nothing]] = []
        self._swept_s = 0.0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def queued_count(self) -> int:
        """Number of openings that wait for a target with capacity."""
        return sum(len(queue) for queue in self._backlogs.values())

    def explain(self, flow_key: bytes) -> str:
        """Describes a flow's target and its load, for the log.

        Args:
            flow_key: The flow.
        """
        flow = self._flows.get(flow_key)
        if flow is None:
            return "no record"
        load = flow.load
        return (
            f"target {flow.target.identity} at {flow.target.address[0]} for {flow.target.service}, "
            f"{load.in_flight_count} in flight, {load.failure_count} unanswered, "
            f"decided by {flow.decided_by or 'load'}"
        )

    def steer(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        """Chooses the target of a caller's packet.

        Args:
            packet: The packet.
            now_s: Current time.

        Returns:
            The target, or the reason why there is none. For a reason in ``REFUSALS`` the caller is
            sent a refusal; for ``WAITING`` the opening is queued; otherwise it is dropped silently.
        """
        self._table.refresh(now_s)
        found = self._find_target(packet, now_s)
        if isinstance(found, roster.Target) and self._table.is_taken_over(found):
            return DROPPED_TAKEN_OVER
        return found

    def _find_target(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        if packet.kind is Kind.OPENING:
            return self._steer_opening(packet, now_s)
        flow = self._flows.get(packet.flow)
        if flow is None:
            return self._steer_unrecorded(packet, now_s)
        flow.last_packet_s = now_s
        if flow.stage is flowstate.Stage.OPENING:
            answered = self._table.find_listed(packet.token)
            if answered is not None:
                self._accounting.complete_handshake(flow, answered, packet, now_s)
        else:
            self._follow_restart(flow, packet)
            self._accounting.update_load(flow, packet)
        if packet.kind is not Kind.DATA:
            self._accounting.close(flow)
        elif flow.retransmit_count:
            return self._judge_open(flow, packet, now_s)
        return flow.target

    def _follow_restart(self, flow: flowstate.Flow, packet: Packet) -> None:
        """Assigns a flow to the incarnation that has answered it, once that one is known."""
        if packet.acknowledged == flow.acknowledged:
            return
        listed = self._table.find_listed(flow.load.target.token)
        if listed is not None and listed is not flow.load:
            flow.move(listed)

    def _steer_unrecorded(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        load = self._table.find(packet.token)
        if packet.kind is not Kind.DATA or load is not None:
            # Ended, or the target that its first opening went to has answered.
            for queue in self._backlogs.values():
                queue.remove(packet.flow)
        if load is None:
            return DROPPED_UNKNOWN_TOKEN
        if packet.kind is Kind.DATA and packet.has_payload:
            flow = self._flows[packet.flow] = flowstate.Flow(
                target=load.target,
                load=load,
                stage=flowstate.Stage.OPEN,
                opening_sent_s=now_s,
                counted_since_s=now_s,
                last_packet_s=now_s,
                acknowledged=packet.acknowledged,
                is_counted=False,
            )
            self._accounting.update_load(flow, packet)
        return load.target

    # Unresponsive targets

    def take_zone_changes(self) -> list[tuple[str, bool]]:
        """See ``loadtable.LoadTable.take_zone_changes``."""
        return self._table.take_zone_changes()

    def take_suspected(self) -> list[roster.Target]:
        """Returns the targets that became suspected since this was last called."""
        loads, self._accounting.newly_suspected = self._accounting.newly_suspected, []
        return [load.target for load in loads]

    def record_link_busy(self, now_s: float) -> None:
        """Records that packets wait for this VM's link, so that silence proves nothing.

        Args:
            now_s: Current time.
        """
        self._judge.record_link_busy(now_s)

    def _judge_open(
        self, flow: flowstate.Flow, packet: Packet, now_s: float
    ) -> roster.Target | errors.Nothing:
        """Resets a flow whose target must be gone, if its caller may repeat the request."""
        proof = self._judge.find_proof(flow, self._flows.values(), now_s)
        rule = self.rule_of(packet) if proof else REFUSED_NO_ROUTE
        if isinstance(rule, errors.Nothing) or not rule.idempotent:
            return flow.target
        self._accounting.record_failure(flow, flow.payload_sent_s, now_s)
        flow.decided_by = proof
        self.counters.events[f"resets_{proof}"] += 1
        flow.stage = flowstate.Stage.CLOSED
        flow.uncount_as_load()
        return RESET_UNRESPONSIVE

    # Openings

    def _steer_opening(self, packet: Packet, now_s: float) -> roster.Target | errors.Nothing:
        flow = self._flows.get(packet.flow)
        if flow is not None and (self._is_kept_off(flow) or self._is_ruled_out(flow, packet)):
            # Handled as a new opening: its first target must not get it again.
            flow.uncount_as_load()
            flow = None
            del self._flows[packet.flow]
        if flow is not None and flow.stage is not flowstate.Stage.CLOSED:
            return self._steer_retransmission(flow, packet, now_s)
        found = self.consider(packet, now_s)
        if isinstance(found, errors.Nothing):
            return found
        rule, service = found
        queue = self._backlogs[service]
        if packet.flow in queue:
            return WAITING
        may_probe = not packet.retransmit_count
        found = NO_CAPACITY if queue else self._place(service, now_s, may_probe=may_probe)
        if found is NO_CAPACITY:
            return self._enqueue(packet, service, rule, now_s)
        if isinstance(found, errors.Nothing):
            return found
        return self._admit(packet, found, rule, now_s)

    def consider(self, packet: Packet, now_s: float) -> tuple[rules.Rule, str] | errors.Nothing:
        """Returns the rule and service of a new opening, or why it is refused or dropped.

        Args:
            packet: The opening.
            now_s: Current time.
        """
        self._table.refresh(now_s)
        if not self._view.is_ready(now_s):
            # Dropped, not refused: the rules may be known by the caller's next retransmission.
            return DROPPED_NOT_READY
        if not self._view.is_fresh(now_s):
            return DROPPED_NOT_FRESH
        rule = self.rule_of(packet)
        if isinstance(rule, errors.Nothing):
            return rule
        service = rule.service_for(hashing.short_hash(packet.flow))
        return (rule, service) if self._table.ready(service) else REFUSED_NO_TARGET

    def preview(self, service: str, now_s: float) -> selection.Preview:
        """Shows what the selection would do with an opening, without counting it.

        Args:
            service: The service.
            now_s: Current time.
        """
        kept = self.counters.events.copy()
        queued_count = len(self._backlogs[service])
        query = selection.Query(service=service, now_s=now_s)
        preview = self._selector.preview(self._table.ready(service), query, queued_count)
        self.counters.events.clear()
        self.counters.events.update(kept)
        return preview

    def find_flow(self, key: bytes) -> flowstate.Flow | None:
        """Returns a flow's record, or None.

        Args:
            key: The flow's key.
        """
        return self._flows.get(key)

    @property
    def rules_number(self) -> int:
        """Number of the rule file in force."""
        return self._view.rules.number

    def _is_kept_off(self, flow: flowstate.Flow) -> bool:
        """Whether a flow that is not open yet was sent to a target that gets no new flows now.

        Its zone has been evacuated, it leaves, or it has started again, perhaps under its name.
        """
        if flow.stage is not flowstate.Stage.OPENING:
            return False
        load = flow.load
        return (
            load.target.zone in self._view.evacuated_zones
            or load.target.state is not roster.State.READY
            or self._table.loads.get(load.target.token) is not load
        )

    def _is_ruled_out(self, flow: flowstate.Flow, packet: Packet) -> bool:
        """Whether a flow that is not open yet was sent to a service that its rule does not name."""
        if flow.stage is not flowstate.Stage.OPENING:
            return False
        rule = self.rule_of(packet)
        return isinstance(rule, errors.Nothing) or flow.target.service not in rule.services

    def rule_of(self, packet: Packet) -> rules.Rule | errors.Nothing:
        """Returns the rule in force for a packet's service address.

        Args:
            packet: A caller's packet.
        """
        found = self._view.rules.find(packets.TCP, packet.route[:4], packet.route[4:])
        return REFUSED_NO_ROUTE if isinstance(found, errors.Nothing) else found

    def _admit(
        self, packet: Packet, found: selection.Selected, rule: rules.Rule, now_s: float
    ) -> roster.Target:
        load = found.load
        flow = self._flows[packet.flow] = flowstate.Flow(
            target=load.target,
            load=load,
            stage=flowstate.Stage.OPENING,
            opening_sent_s=now_s,
            counted_since_s=now_s,
            last_packet_s=now_s,
            is_counted=False,
            decided_by=found.decided_by,
        )
        self._accounting.record_opening(flow, now_s)
        if rule.idempotent and not packet.retransmit_count:
            self._hedger.record_opening(
                hedging.Due(flow=packet.flow, opening=packet, sent_s=now_s),
                service=load.target.service,
                is_own_zone=load.target.zone == self._own_zone,
                rule_share=rule.hedge,
            )
        return load.target

    def _place(
        self,
        service: str,
        now_s: float,
        *,
        avoid: tuple[choosing.Load | None, ...] = (),
        may_probe: bool = False,
    ) -> selection.Selected | errors.Nothing:
        loads = [load for load in self._table.ready(service) if load not in avoid]
        query = selection.Query(service=service, now_s=now_s, may_probe=may_probe)
        found = self._selector.select(loads, query)
        if isinstance(found, errors.Nothing):
            is_kept_off = found is selection.REFUSED_EVACUATED
        else:
            is_kept_off = selection.EVACUATION in found.steps
            found.load.record_placement(now_s)
        if is_kept_off:
            self.counters.events["openings_kept_off_zone"] += 1
        return found

    # Queued openings

    def _enqueue(
        self, packet: Packet, service: str, rule: rules.Rule, now_s: float
    ) -> errors.Nothing:
        """Queues an opening until its deadline, as the targets' own full queues would refuse it."""
        usable = self._selector.usable(
            self._table.ready(service), selection.Query(service=service, now_s=now_s)
        )
        elapsed_s = RETRANSMIT_TIMES_S[min(packet.retransmit_count, len(RETRANSMIT_TIMES_S) - 1)]
        queued = backlog.QueuedOpening(
            flow=packet.flow,
            opening=packet,
            queued_s=now_s,
            deadline_s=now_s + min(rule.wait_s, CONNECT_TIMEOUT_S - elapsed_s),
            urgency=rule.urgency,
            is_bulk=rule.is_bulk,
        )
        in_flight_limit = sum(load.in_flight_limit for load in usable)
        excess = self._backlogs[service].add(queued, in_flight_limit)
        self._reject([q for q in excess if q is not queued], backlog.REFUSED_TOO_MANY_WAITING)
        return backlog.REFUSED_TOO_MANY_WAITING if queued in excess else WAITING

    def _reject(self, rejected: list[backlog.QueuedOpening], reason: errors.Nothing) -> None:
        self._rejected += [(queued.opening, reason) for queued in rejected]

    def take_rejected(self) -> list[tuple[Packet, errors.Nothing]]:
        """Returns and clears the queued openings that are to be refused or dropped, with reasons.

        The reasons have the same meaning as in ``steer``.
        """
        rejected, self._rejected = self._rejected, []
        return rejected

    def take_released(self, now_s: float) -> list[tuple[Packet, roster.Target]]:
        """Returns queued openings that can be forwarded now, with their targets.

        Args:
            now_s: Current time.
        """
        self._accounting.uncount_unanswered(now_s)
        released = []
        if not self._view.is_fresh(now_s):
            return released
        self._table.refresh(now_s)
        for service, queue in self._backlogs.items():
            if not queue:
                continue
            if not self._table.ready(service):
                self._reject(queue.clear(), REFUSED_NO_TARGET)
            self._reject(queue.remove_expired(now_s, margin_s=0.0), DROPPED_WAITED_TOO_LONG)
            while queue:
                found = self._place(service, now_s)
                if isinstance(found, errors.Nothing):
                    if found in REFUSALS:
                        self._reject(queue.clear(), found)
                    break
                entry = queue.pop()
                rule = self.rule_of(entry.opening)
                flow_hash = hashing.short_hash(entry.flow)
                if isinstance(rule, errors.Nothing) or rule.service_for(flow_hash) != service:
                    # The caller's next retransmission is handled by the new rules.
                    self._reject([entry], DROPPED_RULES_CHANGED)
                    continue
                released.append((entry.opening, self._admit(entry.opening, found, rule, now_s)))
                self.counters.histograms["opening_wait"].note(now_s - entry.queued_s)
        return released

    def _steer_retransmission(
        self, flow: flowstate.Flow, packet: Packet, now_s: float
    ) -> roster.Target | errors.Nothing:
        """Moves a retransmitted opening to another target, unless the flow is open.

        A copy that arrives too soon was delayed in transit and keeps the target. Each copy to a
        cold target counts as an opening: the target may have lost the others.
        """
        flow.last_packet_s = now_s
        if (
            flow.stage is flowstate.Stage.OPEN
            or now_s - flow.opening_sent_s < flowstate.MIN_RETRANSMIT_S
        ):
            return self._repeat(flow, now_s)
        # A target that answered another opening meanwhile is reachable; this opening was lost.
        is_unresponsive = flow.load.answered_s < flow.opening_sent_s
        if is_unresponsive:
            self._accounting.record_failure(flow, flow.opening_sent_s, now_s)
        flow.opening_sent_s = now_s
        flow.opening_count += 1
        self._accounting.record_opening(flow, now_s)
        other = self._place(flow.target.service, now_s, avoid=(flow.load, flow.hedge))
        flow.drop_hedge()
        if not isinstance(other, errors.Nothing):
            flow.move(other.load)
            flow.decided_by = other.decided_by
            self.counters.events["openings_moved"] += 1
            return flow.target
        return self._repeat(flow, now_s)

    def _repeat(self, flow: flowstate.Flow, now_s: float) -> roster.Target | errors.Nothing:
        # The newest record: the target may have become cold since the flow was placed.
        flow.target = flow.load.target
        if self._holder is None or self._holder.charge(flow.target, now_s):
            return flow.target
        return DROPPED_COLD

    # Hedged openings

    @property
    def next_hedge_s(self) -> float | None:
        """When ``take_hedges`` has to be called next, or None."""
        return self._hedger.next_due_s

    def take_hedges(self, now_s: float) -> list[tuple[Packet, roster.Target]]:
        """Returns openings to be sent to a second target as well, with that target.

        Args:
            now_s: Current time.
        """
        if not self._view.is_fresh(now_s):
            self._hedger.discard_all()
        self._table.refresh(now_s)
        hedges = []
        for due in self._hedger.take_due(now_s):
            flow = self._flows.get(due.flow)
            if (
                flow is None
                or flow.stage is not flowstate.Stage.OPENING
                or flow.opening_sent_s != due.sent_s
                or self._is_ruled_out(flow, due.opening)
            ):
                continue
            load = self._place_hedge(flow, now_s)
            if not isinstance(load, errors.Nothing):
                flow.add_hedge(load)
                hedges.append((due.opening, load.target))
                self.counters.events["hedges_sent"] += 1
            else:
                self.counters.events[f"hedges_{load.reason}"] += 1
        return hedges

    def _place_hedge(self, flow: flowstate.Flow, now_s: float) -> choosing.Load | errors.Nothing:
        """Selects the second target of a hedged opening, if the budget and the load allow one."""
        if self._judge.was_link_busy(flow.opening_sent_s):
            return hedging.LINK_BUSY
        if self._backlogs[flow.target.service]:
            return NO_CAPACITY
        if not self._hedger.budget.is_enough:
            return hedging.NO_BUDGET
        found = self._place(flow.target.service, now_s, avoid=(flow.load,))
        if isinstance(found, errors.Nothing):
            return found
        self._hedger.budget.spend()
        return found.load

    # Periodic work

    def tick(self, now_s: float) -> None:
        """Rejects queued openings past their deadline and removes idle flow records.

        Args:
            now_s: Current time.
        """
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        for queue in self._backlogs.values():
            self._reject(queue.remove_expired(now_s), DROPPED_WAITED_TOO_LONG)
        for key, flow in list(self._flows.items()):
            idle_s = now_s - flow.last_packet_s
            if idle_s > IDLE_LOAD_TIMEOUT_S:
                flow.uncount_as_load()
            timeout_s = (
                CLOSED_RECORD_TIMEOUT_S
                if flow.stage is flowstate.Stage.CLOSED
                else RECORD_TIMEOUT_S
            )
            if idle_s > timeout_s:
                del self._flows[key]
