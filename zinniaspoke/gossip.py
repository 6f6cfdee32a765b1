"""Gossip between entry VMs: heartbeats, and the exchange of members, targets, leases and loads."""

from collections.abc import Callable, Iterable

from zinniaspoke import (
    core_state,
    events,
    flows,
    loads,
    membership,
    placer,
    targets,
)
from zinniaspoke.proto import peer_pb2

LOAD_REPORT_INTERVAL_S = 0.2
# How long heartbeats repeat a lease renewal after a target announced it to this VM.
RENEWAL_GOSSIP_S = 1.0
RECORDS_PER_DATAGRAM = 10
REQUEST_INTERVAL_S = 0.2

_HANDLERS: dict[str, Callable] = {}


def _handles(field: str) -> Callable:
    """Registers a method as the handler of one kind of datagram body."""

    def register(method: Callable) -> Callable:
        _HANDLERS[field] = method
        return method

    return register


class Gossip:
    """Keeps members, targets, leases, loads and rule numbers consistent across the group."""

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        placer: placer.Placer,
        seeds: tuple[tuple[str, int], ...],
    ) -> None:
        """Creates the gossip component.

        Args:
            state: State shared by the components of the core.
            placer: The placer, which receives load reports.
            seeds: Control endpoints of entry VMs through which this VM joins the group.
        """
        self._members = state.members
        self._table = state.target_table
        self._book = state.rule_book
        self._flows = state.flow_table
        self._placer = placer
        self._out = state.out
        self._seeds = seeds
        # Time of the last announcement to this VM, by target tag.
        self._renewals: dict[int, float] = {}
        self._heartbeat_sent_s = -1e9
        self._loads_sent_s = -1e9
        # Time of the last request by member id, or 0 for a request of a rule file.
        self._requested_s: dict[int, float] = {}
        self._sequence = 0
        self._idle: dict[int, flows.FlowCounts] = {}

    def handle_announcement(self, state: targets.TargetState, now_s: float) -> None:
        """Handles a target's own announcement, and broadcasts the target's state if it changed.

        An announcement that does not start or end draining keeps the known version, since it only
        renews the lease. Heartbeats carry the renewal to the other members.

        Args:
            state: The announced state; its version is the announcement's sequence number.
            now_s: Current time.
        """
        known = self._table.states.get(state.target.tag)
        if known is not None and known.is_draining == state.is_draining:
            state.version = known.version
        self._renewals[state.target.tag] = now_s
        if self._merge(state, now_s):
            self._broadcast([self._table.states[state.target.tag]], now_s)

    def set_operator_drain(self, tag: int, is_held: bool, at_ms: int, now_s: float) -> bool:
        """Starts or ends an operator's drain of a target, and broadcasts it.

        Args:
            tag: The target's tag.
            is_held: Whether the target is to get no new work.
            at_ms: When the operator requested it, in milliseconds since 1970.
            now_s: Current time.

        Returns:
            False if the target is unknown, which changes nothing.
        """
        state = self._table.states.get(tag)
        if state is None:
            return False
        state.is_held = is_held
        state.held_at_ms = max(at_ms, state.held_at_ms + 1)
        detail = "drained by operator" if is_held else "no longer drained by operator"
        self._out.log(events.TARGET_CHANGED, state.target.name, detail)
        self._broadcast([state], now_s)
        return True

    def _merge(self, state: targets.TargetState, now_s: float) -> bool:
        is_new = state.target.tag not in self._table.states
        if not self._table.merge(state, now_s):
            return False
        event = events.TARGET_ANNOUNCED if is_new else events.TARGET_CHANGED
        detail = "draining" if state.is_draining else "ready"
        self._out.log(event, state.target.name, detail)
        return True

    def _broadcast(self, states: Iterable[targets.TargetState], now_s: float) -> None:
        body = _target_table(states, now_s)
        for member_id in self._other_ids():
            self._out.send_control(member_id, peer_pb2.Datagram(target_table=body))

    def _other_ids(self) -> list[int]:
        return [i for i in self._members.members if i != self._members.own.id]

    def tick(self, now_s: float) -> None:
        """Sends heartbeats when due, with load reports every LOAD_REPORT_INTERVAL_S.

        Args:
            now_s: Current time.
        """
        if now_s - self._heartbeat_sent_s < membership.HEARTBEAT_INTERVAL_S:
            return
        self._heartbeat_sent_s = now_s
        self._contact_seeds()
        has_loads = now_s - self._loads_sent_s >= LOAD_REPORT_INTERVAL_S
        if has_loads:
            self._loads_sent_s = now_s
        self._sequence += 1
        heartbeat = self._heartbeat(now_s)
        for member_id in self._other_ids():
            body = peer_pb2.Datagram(heartbeat=heartbeat)
            if has_loads:
                body.heartbeat.loads.extend(self._loads_for(member_id))
            self._out.send_control(member_id, body)
        if has_loads:
            self._apply_own_loads(now_s)

    def _contact_seeds(self) -> None:
        known = {m.control_endpoint for m in self._members.members.values()}
        body = peer_pb2.MemberTable(members=[_member_record(self._members.own)])
        for seed in self._seeds:
            if seed not in known:
                self._out.send_control_to(seed, peer_pb2.Datagram(member_table=body))

    def _heartbeat(self, now_s: float) -> peer_pb2.Heartbeat:
        own = self._members.own
        self._renewals = {t: s for t, s in self._renewals.items() if now_s - s < RENEWAL_GOSSIP_S}
        leaving = membership.MemberState.LEAVING
        acks = [m.id for m in self._members.members.values() if m.state is leaving]
        return peer_pb2.Heartbeat(
            member_id=own.id,
            state=int(own.state),
            rule_number=self._book.number,
            heard_ids=self._members.heard_ids(now_s),
            leases=[self._lease(tag, now_s) for tag in self._renewals if tag in self._table.states],
            leave_ack_ids=acks,
            sequence=self._sequence,
        )

    def _lease(self, tag: int, now_s: float) -> peer_pb2.Lease:
        state = self._table.states[tag]
        age_ms = int(max(0.0, now_s - state.renewed_s) * 1000)
        return peer_pb2.Lease(target_tag=tag, version=state.version, age_ms=age_ms)

    def set_idle_counts(self, idle: dict[int, flows.FlowCounts]) -> None:
        """Sets the numbers of idle flows, as counted by the last sweep of the flow table.

        Args:
            idle: Numbers of flows without a request in progress, by target tag.
        """
        self._idle = idle

    def _loads_for(self, member_id: int) -> list[peer_pb2.Load]:
        """Returns the load reports that a member needs.

        These are the reports on the targets of the services for which the member is the placer, or
        would be if the placer failed. If each home places its own flows, each other member needs
        the reports on all targets.
        """
        reports = []
        for tag, count in self._flows.counts.items():
            state = self._table.states.get(tag)
            if state is None:
                continue
            service_key = state.target.service.encode()
            if self._members.places_locally:
                if member_id != self._members.own.id:
                    reports.append(self._load(tag, count))
            elif member_id in self._members.placer_order(service_key)[:2]:
                reports.append(self._load(tag, count))
        return reports

    def _load(self, tag: int, count: flows.FlowCounts) -> peer_pb2.Load:
        idle = self._idle.get(tag) or flows.FlowCounts()
        return peer_pb2.Load(
            target_tag=tag,
            short_count=count.short_count,
            long_count=count.long_count,
            idle_short_count=min(idle.short_count, count.short_count),
            idle_long_count=min(idle.long_count, count.long_count),
        )

    def _apply_own_loads(self, now_s: float) -> None:
        own_id = self._members.own.id
        self._apply_loads(own_id, self._loads_for(own_id), now_s)

    def _apply_loads(self, member_id: int, reports: Iterable[peer_pb2.Load], now_s: float) -> None:
        for body in reports:
            state = self._table.states.get(body.target_tag)
            if state is None:
                continue
            report = loads.Report(
                short_count=body.short_count,
                long_count=body.long_count,
                idle_short_count=body.idle_short_count,
                idle_long_count=body.idle_long_count,
                received_s=now_s,
            )
            self._placer.load_of(state.target).update_report(member_id, report)

    def handle(self, datagram: peer_pb2.Datagram, now_s: float) -> bool:
        """Handles a verified datagram if its body is a gossip message.

        Args:
            datagram: The datagram.
            now_s: Current time.

        Returns:
            Whether the body is a gossip message.
        """
        field = datagram.WhichOneof("body")
        handler = _HANDLERS.get(field)
        if handler is None:
            return False
        handler(self, datagram.sender_id, getattr(datagram, field), now_s)
        return True

    @_handles("heartbeat")
    def _on_heartbeat(self, sender_id: int, body: peer_pb2.Heartbeat, now_s: float) -> None:
        own_id = self._members.own.id
        known = self._members.members
        unknown = [i for i in (sender_id, *body.heard_ids) if i not in known]
        if unknown:
            self._request_members(sender_id, unknown, now_s)
        member = known.get(sender_id)
        if member is None:
            return
        hears_us = own_id in body.heard_ids
        state = membership.MemberState(body.state)
        self._members.record_heartbeat(sender_id, state, hears_us, now_s)
        member.acknowledges_leave = own_id in body.leave_ack_ids
        member.rule_number = body.rule_number
        if body.rule_number > self._book.number:
            self._fetch_rules(member, now_s)
        self._apply_leases(sender_id, body.leases, now_s)
        self._apply_loads(sender_id, body.loads, now_s)

    def _fetch_rules(self, member: membership.Member, now_s: float) -> None:
        if now_s - self._requested_s.get(0, -1e9) >= REQUEST_INTERVAL_S:
            self._requested_s[0] = now_s
            self._out.fetch_rules(member, member.rule_number)

    def _apply_leases(self, sender_id: int, leases: Iterable[peer_pb2.Lease], now_s: float) -> None:
        tags = []
        for lease in leases:
            state = self._table.states.get(lease.target_tag)
            if state is None or state.version < lease.version:
                tags.append(lease.target_tag)
                continue
            state.renewed_s = max(state.renewed_s, now_s - lease.age_ms / 1000)
        if tags:
            body = peer_pb2.TargetRequest(target_tags=tags)
            self._out.send_control(sender_id, peer_pb2.Datagram(target_request=body))

    def _request_members(self, sender_id: int, unknown: list[int], now_s: float) -> None:
        is_known = sender_id in self._members.members
        if not is_known or now_s - self._requested_s.get(sender_id, -1e9) < REQUEST_INTERVAL_S:
            return
        self._requested_s[sender_id] = now_s
        body = peer_pb2.MemberRequest(member_ids=unknown)
        self._out.send_control(sender_id, peer_pb2.Datagram(member_request=body))

    @_handles("member_request")
    def _on_member_request(
        self, sender_id: int, body: peer_pb2.MemberRequest, now_s: float
    ) -> None:
        known = self._members.members
        found = [_member_record(known[i]) for i in body.member_ids if i in known]
        if found:
            table = peer_pb2.MemberTable(members=found)
            self._out.send_control(sender_id, peer_pb2.Datagram(member_table=table))

    @_handles("member_table")
    def _on_member_table(self, sender_id: int, body: peer_pb2.MemberTable, now_s: float) -> None:
        for record in body.members:
            member = _member(record)
            if not self._members.register(member, now_s):
                continue
            self._out.log(events.MEMBER_LEARNT, member.name, f"zone {member.zone}")
            if member.id == sender_id:
                self._send_full_state(member.id, now_s)

    def _send_full_state(self, member_id: int, now_s: float) -> None:
        """Sends a new member all known members and targets, so that it can serve."""
        records = [_member_record(m) for m in self._members.members.values() if m.id != member_id]
        table = peer_pb2.MemberTable(members=records)
        self._out.send_control(member_id, peer_pb2.Datagram(member_table=table))
        states = list(self._table.states.values())
        for start in range(0, len(states), RECORDS_PER_DATAGRAM):
            chunk = _target_table(states[start : start + RECORDS_PER_DATAGRAM], now_s)
            self._out.send_control(member_id, peer_pb2.Datagram(target_table=chunk))

    @_handles("target_table")
    def _on_target_table(self, sender_id: int, body: peer_pb2.TargetTable, now_s: float) -> None:
        for record in body.targets:
            self._merge(_target_state(record, now_s), now_s)

    @_handles("target_request")
    def _on_target_request(
        self, sender_id: int, body: peer_pb2.TargetRequest, now_s: float
    ) -> None:
        known = self._table.states
        states = [known[tag] for tag in body.target_tags[:RECORDS_PER_DATAGRAM] if tag in known]
        if states:
            table = _target_table(states, now_s)
            self._out.send_control(sender_id, peer_pb2.Datagram(target_table=table))


def _member_record(member: membership.Member) -> peer_pb2.Member:
    return peer_pb2.Member(
        name=member.name,
        zone=member.zone,
        host=member.host,
        data_port=member.data_port,
        control_port=member.control_port,
        http_port=member.http_port,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def _member(record: peer_pb2.Member) -> membership.Member:
    return membership.Member(
        name=record.name,
        zone=record.zone,
        host=record.host,
        data_port=record.data_port,
        control_port=record.control_port,
        http_port=record.http_port,
        incarnation=record.incarnation,
        state=membership.MemberState(record.state),
    )


def _target_table(states: Iterable[targets.TargetState], now_s: float) -> peer_pb2.TargetTable:
    return peer_pb2.TargetTable(targets=[_target_record(state, now_s) for state in states])


def _target_record(state: targets.TargetState, now_s: float) -> peer_pb2.TargetRecord:
    target = state.target
    return peer_pb2.TargetRecord(
        address=target.address,
        port=target.port,
        service=target.service,
        incarnation=target.incarnation,
        version=state.version,
        is_draining=state.is_draining,
        slot_count=target.slot_count,
        connection_limit=target.connection_limit,
        zone=target.zone,
        geneve_port=target.geneve_port,
        age_ms=int(max(0.0, now_s - state.renewed_s) * 1000),
        lease_ms=int(state.lease_s * 1000),
        health_address=target.health_address,
        known_ms=int(max(0.0, now_s - state.first_seen_s) * 1000),
        is_held=state.is_held,
        held_at_ms=state.held_at_ms,
    )


def _target_state(record: peer_pb2.TargetRecord, now_s: float) -> targets.TargetState:
    target = targets.Target(
        address=record.address,
        port=record.port,
        service=record.service,
        incarnation=record.incarnation,
        geneve_port=record.geneve_port,
        slot_count=record.slot_count,
        connection_limit=record.connection_limit,
        zone=record.zone,
        health_address=record.health_address,
    )
    return targets.TargetState(
        target=target,
        version=record.version,
        is_draining=record.is_draining,
        renewed_s=now_s - record.age_ms / 1000,
        lease_s=record.lease_ms / 1000,
        first_seen_s=now_s - record.known_ms / 1000,
        is_held=record.is_held,
        held_at_ms=record.held_at_ms,
    )
