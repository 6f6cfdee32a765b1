"""The core of an entry VM: a state machine without I/O.

It takes packets, control datagrams, announcements and the current time, and returns actions for the
adapters to perform.

Of the entry VMs, one is the home of a flow and holds the flow's record; a hash of the flow's key
determines which. One is the placer of a service and assigns a target to each new flow of that
service. The first packet of a flow (a TCP SYN, or a UDP packet of an unknown flow) is called its
opening. A witness is an entry of another VM that names a flow's target; the VM adds it when it
relays an answer of the flow, receives a copy of the record or ceases to be the home. Witnesses
let a flow survive the loss of its home.
"""

import random
from collections.abc import Callable, Iterable

import attrs

from zinniaspoke import (
    actions,
    caller_path,
    copies,
    core_state,
    counters,
    datagrams,
    errors,
    events,
    flows,
    geneve,
    gossip,
    invariants,
    levels,
    membership,
    openings,
    outbox,
    packets,
    placement,
    placer,
    return_path,
    rulebook,
    sweep,
    targets,
)
from zinniaspoke.proto import peer_pb2

WITNESS_SLICE_COUNT = 500
LEAVE_QUIET_S = 1.0
LEAVE_LIMIT_S = 300.0

_STEP_HANDLERS: dict[geneve.Step, Callable] = {}


def _handles(step: geneve.Step) -> Callable:
    """Registers the decorated method as the handler of a steering step."""

    def register(method: Callable) -> Callable:
        _STEP_HANDLERS[step] = method
        return method

    return register


@attrs.frozen(kw_only=True)
class Config:
    """Configuration of an entry VM's core.

    Attributes:
        own: The membership entry of this VM.
        seeds: Control endpoints of the entry VMs to contact first.
        fabric: Endpoint to which packets for callers are sent.
        fabric_hosts: Outer source addresses from which packets of callers arrive.
        keys: Secrets that authenticate datagrams; the first one signs.
        flow_limit: Maximum number of flow records.
        witness_limit: Maximum number of witnesses.
        policy: Name of the placement policy.
        is_strict: Whether a violated invariant raises an exception.
        wall_offset_s: Offset from the core's clock to Unix time.
    """

    own: membership.Member
    seeds: tuple[tuple[str, int], ...]
    fabric: tuple[str, int]
    fabric_hosts: frozenset[str]
    keys: tuple[bytes, ...]
    flow_limit: int = 300_000
    witness_limit: int = 300_000
    policy: str = placement.DEFAULT_POLICY
    is_strict: bool = False
    wall_offset_s: float = 0.0


class Entry:
    """The core of one entry VM, without sockets and clocks of its own."""

    def __init__(self, *, config: Config, rng: random.Random, now_s: float) -> None:
        """Creates the parts of the core and connects them.

        Args:
            config: Identity, limits and secrets.
            rng: Seeded random number generator.
            now_s: Current time.
        """
        self.config = config
        self._authenticator = datagrams.Authenticator(
            sender_id=config.own.id, incarnation=config.own.incarnation, keys=config.keys
        )
        policy = placement.create(config.policy, rng)
        state = self._make_state(config, policy.is_local, now_s)
        self.counts = state.counts
        self.members = state.members
        self.table = state.target_table
        self.book = state.rule_book
        self.records = state.flow_table
        self.witnesses = state.witnesses
        self.out = state.out
        self.recorder = state.level_recorder
        self._unanswered = state.unanswered
        self.copy_sender = copies.CopySender(state=state, now_s=now_s)
        self.placer = placer.Placer(
            state=state, copy_sender=self.copy_sender, policy=policy, now_s=now_s
        )
        self.gossip = gossip.Gossip(state=state, placer=self.placer, seeds=config.seeds)
        self.caller_path = caller_path.CallerPath(
            state=state, placer=self.placer, copy_sender=self.copy_sender
        )
        self.return_path = return_path.ReturnPath(state=state, placer=self.placer)
        self._sweeper = sweep.Sweeper(
            state=state,
            copy_sender=self.copy_sender,
            caller_path=self.caller_path,
            set_idle_counts=self.gossip.set_idle_counts,
        )
        self.evacuated_zones: frozenset[str] = frozenset()
        self.places_revision = 0
        self._placed_services: frozenset[str] = frozenset()
        self._applied_version = -1
        self._logged_reachable: frozenset[int] = frozenset()
        self._leave_started_s: float | None = None
        self._last_packet_s = now_s

    def _make_state(
        self, config: Config, places_locally: bool, now_s: float
    ) -> core_state.CoreState:
        counts = counters.Counters()
        members = membership.Membership(own=config.own, now_s=now_s)
        members.places_locally = places_locally
        table = targets.TargetTable()
        out = outbox.Outbox(
            members=members,
            target_table=table,
            authenticator=self._authenticator,
            fabric=config.fabric,
            counts=counts,
        )
        return core_state.CoreState(
            members=members,
            target_table=table,
            rule_book=rulebook.RuleBook(),
            flow_table=flows.FlowTable(limit=config.flow_limit),
            witnesses=flows.WitnessTable(limit=config.witness_limit),
            unanswered=openings.UnansweredOpenings(),
            out=out,
            checks=invariants.Invariants(out=out, is_strict=config.is_strict),
            counts=counts,
            level_recorder=levels.LevelRecorder(wall_offset_s=config.wall_offset_s),
        )

    def handle_packet(self, data: bytes, source_host: str, now_s: float) -> list[actions.Action]:
        """Handles a datagram from the data socket.

        Args:
            data: The Geneve datagram.
            source_host: The outer source address of the datagram.
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        self.out.start_call(now_s)
        try:
            frame = geneve.decapsulate(data, self._authenticator.keys)
            packet = packets.decode(frame.inner)
        except errors.PacketError as error:
            self.counts.drops[error.reason] += 1
            return self.out.take_actions()
        if frame.steering is not None:
            _STEP_HANDLERS[frame.steering.step](self, packet, frame.steering, now_s)
        elif source_host in self.config.fabric_hosts:
            self._last_packet_s = now_s
            self.caller_path.handle_fabric_packet(packet, now_s)
        else:
            self._last_packet_s = now_s
            self.return_path.handle_target_packet(packet, source_host, now_s)
        return self.out.take_actions()

    @_handles(geneve.Step.TO_HOME)
    def _to_home(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.handle_at_home(packet, steering, now_s)

    @_handles(geneve.Step.PLACE)
    def _place(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.handle_at_placer(packet, steering, now_s)

    @_handles(geneve.Step.CALLER_VIA_PLACER)
    def _caller_via_placer(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        self.caller_path.handle_reset_at_placer(packet, steering, now_s)

    @_handles(geneve.Step.SEEK)
    def _seek(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.handle_lookup(packet, steering, now_s)

    @_handles(geneve.Step.FOUND)
    def _found(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.handle_found(packet, steering, now_s)

    @_handles(geneve.Step.UNKNOWN)
    def _unknown(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.caller_path.handle_not_found(packet, steering, now_s)

    @_handles(geneve.Step.RETURN)
    def _return(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.return_path.handle_at_home(packet, steering, now_s)

    @_handles(geneve.Step.RETURN_VIA_PLACER)
    def _return_via_placer(
        self, packet: packets.Packet, steering: geneve.Steering, now_s: float
    ) -> None:
        self.return_path.handle_at_placer(packet, steering, now_s)

    @_handles(geneve.Step.REJECTED)
    def _rejected(self, packet: packets.Packet, steering: geneve.Steering, now_s: float) -> None:
        self.return_path.handle_rejected(packet, steering, now_s)

    def handle_control(self, data: bytes, peer: str, now_s: float) -> list[actions.Action]:
        """Handles a datagram from the control socket.

        Args:
            data: The signed datagram.
            peer: The sender's address, for the log.
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        self.out.start_call(now_s)
        try:
            datagram = self._authenticator.verify(data, peer)
        except errors.DatagramError as error:
            self.counts.drops[error.reason] += 1
            if error.reason not in ("own_datagram", "replay"):
                self.out.log(events.DATAGRAM_REFUSED, peer, error.reason)
            return self.out.take_actions()
        if not self.gossip.handle(datagram, now_s):
            self._handle_placer_message(datagram, now_s)
        self._apply_membership_change(now_s)
        return self.out.take_actions()

    def _handle_placer_message(self, datagram: peer_pb2.Datagram, now_s: float) -> None:
        field = datagram.WhichOneof("body")
        if field == "copy_batch":
            self._store_copies(datagram.sender_id, datagram.copy_batch, now_s)
        elif field == "copy_ack":
            self.copy_sender.acknowledge(datagram.sender_id, datagram.copy_ack.batch_id)
        elif field == "placer_counts":
            self._merge_counts(datagram.placer_counts)

    def _store_copies(self, sender_id: int, batch: peer_pb2.CopyBatch, now_s: float) -> None:
        for copy in batch.copies:
            state = self.table.states.get(copy.target_tag)
            if state is None:
                self.counts.drops["copy_of_unknown_target"] += 1
                return
            self.witnesses.put(copy.flow, state.target, copy.sequence, now_s)
        ack = peer_pb2.CopyAck(batch_id=batch.batch_id)
        self.out.send_control(sender_id, peer_pb2.Datagram(copy_ack=ack))

    def _merge_counts(self, body: peer_pb2.PlacerCounts) -> None:
        for received in body.loads:
            state = self.table.states.get(received.target_tag)
            if state is None:
                continue
            load = self.placer.load_of(state.target)
            load.short_count = max(load.short_count, received.short_count)
            load.long_count = max(load.long_count, received.long_count)

    def handle_announcement(self, state: targets.TargetState, now_s: float) -> list[actions.Action]:
        """Handles an announcement of a target.

        Args:
            state: The announced state of the target.
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        self.gossip.handle_announcement(state, now_s)
        return self.out.take_actions()

    def set_operator_drain(
        self, tag: int, is_held: bool, at_ms: int, now_s: float
    ) -> list[actions.Action]:
        """Drains a target at an operator's request, or ends such a drain.

        Args:
            tag: The target's tag.
            is_held: Whether the target gets no new flows.
            at_ms: Time of the request, in milliseconds of Unix time.
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        self.gossip.set_operator_drain(tag, is_held, at_ms, now_s)
        return self.out.take_actions()

    def install_rules(self, number: int, content: bytes) -> list[actions.Action]:
        """Applies a committed rule file.

        Args:
            number: The number of the rule file.
            content: The content of the rule file.

        Returns:
            The actions to perform.
        """
        try:
            is_newer = self.book.install(number, content)
        except errors.RuleError as error:
            self.out.log(events.RULES_REFUSED, f"rule file {number}", error.reason)
            return self.out.take_actions()
        if is_newer:
            rule_count = len(self.book.current.rules)
            self.out.log(events.RULES_IN_FORCE, f"rule file {number}", f"{rule_count} rules")
        return self.out.take_actions()

    def install_places(self, revision: int, zones: Iterable[str]) -> list[actions.Action]:
        """Takes the evacuated zones of a control replica, unless it has older ones.

        Args:
            revision: Number of orders that changed them.
            zones: Names of the evacuated zones.

        Returns:
            The actions to perform.
        """
        if revision > self.places_revision:
            self.places_revision = revision
            now_evacuated, detail = frozenset(zones), f"change {revision}"
            for zone in sorted(now_evacuated - self.evacuated_zones):
                self.out.log(events.ZONE_EVACUATED, zone, detail)
            for zone in sorted(self.evacuated_zones - now_evacuated):
                self.out.log(events.ZONE_RETURNED, zone, detail)
            self.evacuated_zones = now_evacuated
            self.table.set_evacuated(now_evacuated)
        return self.out.take_actions()

    def tick(self, now_s: float) -> list[actions.Action]:
        """Runs the periodic work; called every few hundredths of a second.

        Args:
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        self.out.start_call(now_s)
        self.members.tick(now_s)
        self._apply_membership_change(now_s)
        self.gossip.tick(now_s)
        live_ids = frozenset((*self.members.reachable_ids, self.members.own.id))
        self.placer.tick(now_s, live_ids)
        self._sweeper.tick(now_s)
        self.recorder.tick(now_s)
        self._unanswered.expire(now_s)
        self.copy_sender.tick(now_s)
        self.witnesses.expire(now_s, WITNESS_SLICE_COUNT)
        for target in self.table.remove_expired(now_s):
            self.placer.forget_target(target)
            self.out.log(
                events.TARGET_FORGOTTEN,
                target.name,
                "lease lapsed long ago, target removed",
            )
        return self.out.take_actions()

    def _apply_membership_change(self, now_s: float) -> None:
        """Logs a membership change, and takes over or hands over the role of placer."""
        if self.members.version == self._applied_version:
            return
        self._applied_version = self.members.version
        self._log_membership_change()
        own_id = self.members.own.id
        services = self.book.current.services()
        placed = frozenset(s for s in services if self.members.placer_id(s.encode()) == own_id)
        live_ids = frozenset((*self.members.reachable_ids, own_id))
        self.placer.take_over(placed - self._placed_services, live_ids)
        for service in self._placed_services - placed:
            self._send_counts(service)
        self._placed_services = placed
        self.caller_path.resend_lost_openings(live_ids, now_s)

    def _log_membership_change(self) -> None:
        reachable = frozenset(self.members.reachable_ids)
        for member_id in reachable - self._logged_reachable:
            self.out.log(events.MEMBER_REACHED, self.members.members[member_id].name, "")
        for member_id in self._logged_reachable - reachable:
            member = self.members.members.get(member_id)
            self.out.log(events.MEMBER_LOST, member.name if member else str(member_id), "")
        self._logged_reachable = reachable

    def _send_counts(self, service: str) -> None:
        """Sends this VM's flow counts of a service to the service's new placer."""
        loads = [
            peer_pb2.Load(target_tag=tag, short_count=load.short_count, long_count=load.long_count)
            for tag, load in self.placer.loads.items()
            if load.target.service == service
        ]
        body = peer_pb2.PlacerCounts(service=service, loads=loads)
        placer_id = self.members.placer_id(service.encode())
        self.out.send_control(placer_id, peer_pb2.Datagram(placer_counts=body))

    def begin_leave(self, now_s: float) -> list[actions.Action]:
        """Starts a planned leave of this VM.

        Args:
            now_s: Current time.

        Returns:
            The actions to perform.
        """
        if self._leave_started_s is None:
            self._leave_started_s = now_s
            self.members.own.state = membership.MemberState.LEAVING
            self.members.tick(now_s)
            self.out.log(events.LEAVE_STARTED, self.members.own.name, "")
            self._sweeper.restart(is_leaving=True)
        return self.tick(now_s)

    @property
    def is_leaving(self) -> bool:
        """Whether a planned leave of this VM has started."""
        return self._leave_started_s is not None

    def may_stop(self, now_s: float) -> bool:
        """Returns whether this VM may stop after a planned leave.

        Args:
            now_s: Current time.

        Returns:
            True once all reachable members have acknowledged the leave, every flow that needs a
            copy has one, no opening is pending here, and the fabric and the targets have sent no
            packet for ``LEAVE_QUIET_S``; or once ``LEAVE_LIMIT_S`` has passed.
        """
        if self._leave_started_s is None:
            return False
        if now_s - self._leave_started_s > LEAVE_LIMIT_S:
            return True
        others = [self.members.members[i] for i in self.members.reachable_ids]
        seen = all(member.acknowledges_leave for member in others)
        copied = self._sweeper.is_complete and self.copy_sender.urgent_count == 0
        is_quiet = now_s - self._last_packet_s > LEAVE_QUIET_S
        return seen and copied and is_quiet and self.placer.waiting_count == 0
