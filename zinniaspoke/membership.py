"""Membership of entry VMs: who is live, who leaves, and who is home or placer of what."""

import enum

import attrs

from zinniaspoke import hashing

HEARTBEAT_S = 0.2
SUSPECT_S = 0.7
FORGET_S = 10.0
JOIN_S = 1.0


class MemberState(enum.IntEnum):
    """What an entry VM says of itself; the numbers are the protocol's."""

    JOINING = 1
    SERVING = 2
    LEAVING = 3


@attrs.define(kw_only=True, slots=True)
class Member:
    """One entry VM.

    Attributes:
        name: Its name, unique in the deployment.
        zone: Its availability zone.
        host: IP number of its sockets.
        data_port: UDP port for packets.
        control_port: UDP port for control datagrams.
        http_port: TCP port for announcements.
        incarnation: Rises with every start.
        state: What it says of itself.
        heard_s: When it was last heard; negative where never.
        hears_us: Whether it hears this VM.
        joined_s: When this incarnation became known here.
        acknowledges_leave: Whether it has seen that this VM leaves.
        rule_number: Rule number that it has in force.
        id: 32-bit hash of the name.
        incarnation_id: 32-bit hash of the name and the incarnation.
    """

    name: str
    zone: str
    host: str
    data_port: int
    control_port: int
    http_port: int
    incarnation: int
    state: MemberState = MemberState.JOINING
    heard_s: float = -1e9
    hears_us: bool = False
    joined_s: float = 0.0
    acknowledges_leave: bool = False
    rule_number: int = 0
    id: int = attrs.field(init=False)
    incarnation_id: int = attrs.field(init=False)

    @id.default
    def _compute_id(self) -> int:
        return hashing.short_hash(self.name.encode())

    @incarnation_id.default
    def _compute_incarnation_id(self) -> int:
        return hashing.short_hash(f"{self.name}/{self.incarnation}".encode())

    @property
    def data_endpoint(self) -> tuple[str, int]:
        """Where it takes packets."""
        return self.host, self.data_port

    @property
    def control_endpoint(self) -> tuple[str, int]:
        """Where it takes control datagrams."""
        return self.host, self.control_port


class Membership:
    """One entry VM's view of its group."""

    def __init__(self, *, own: Member, now_s: float) -> None:
        """Starts alone.

        Args:
            own: This VM.
            now_s: Current time.
        """
        self.own = own
        self.members: dict[int, Member] = {own.id: own}
        self.version = 0
        self.places_locally = False
        self._started_s = now_s
        self._serving: tuple[int, ...] = ()
        self._reachable: tuple[int, ...] = ()
        self._present: frozenset[int] = frozenset()
        self._slots = hashing.SlotTable(seeds=[own.id])
        self._placers: dict[str, int] = {}
        self._refresh(now_s)

    def register(self, incoming: Member, now_s: float) -> bool:
        """Takes in a member's description.

        Args:
            incoming: The description.
            now_s: Current time.

        Returns:
            True where the member or its incarnation was not known.
        """
        known = self.members.get(incoming.id)
        if incoming.id == self.own.id:
            return False
        if known is not None and known.incarnation >= incoming.incarnation:
            return False
        incoming.joined_s = now_s
        incoming.heard_s = -1e9
        incoming.hears_us = False
        self.members[incoming.id] = incoming
        self._refresh(now_s)
        return True

    def record_heartbeat(
        self, member_id: int, state: MemberState, hears_us: bool, now_s: float
    ) -> None:
        """Notes that a member was heard.

        Args:
            member_id: Which member; known.
            state: What it says of itself.
            hears_us: Whether it hears this VM.
            now_s: Current time.
        """
        member = self.members[member_id]
        member.heard_s = now_s
        member.state = state
        member.hears_us = hears_us
        self._refresh(now_s)

    def tick(self, now_s: float) -> None:
        """Drops members that fell silent from the view.

        Args:
            now_s: Current time.
        """
        if self.own.state is MemberState.JOINING and self._may_serve(now_s):
            self.own.state = MemberState.SERVING
        for member_id in [m.id for m in self.members.values() if self._is_forgotten(m, now_s)]:
            del self.members[member_id]
        self._refresh(now_s)

    def _may_serve(self, now_s: float) -> bool:
        return now_s - self._started_s >= JOIN_S

    def _is_forgotten(self, member: Member, now_s: float) -> bool:
        last_s = max(member.heard_s, member.joined_s)
        return member is not self.own and now_s - last_s > FORGET_S

    def _refresh(self, now_s: float) -> None:
        others = [m for m in self.members.values() if m is not self.own]
        live = [m for m in others if now_s - m.heard_s < SUSPECT_S and m.hears_us]
        serving = {m.id for m in live if m.state is MemberState.SERVING}
        if self.own.state is MemberState.SERVING or not serving:
            serving.add(self.own.id)
        reachable = tuple(sorted(m.id for m in live))
        staying = (m for m in live if m.state is not MemberState.LEAVING)
        self._present = frozenset(m.incarnation_id for m in staying)
        chosen = tuple(sorted(serving))
        if reachable != self._reachable:
            self._reachable = reachable
            self.version += 1
        if chosen != self._serving:
            self._serving = chosen
            self._slots = hashing.SlotTable(seeds=chosen)
            self._placers.clear()
            self.version += 1

    @property
    def serving_ids(self) -> tuple[int, ...]:
        """Members that may be homes and placers, this VM included."""
        return self._serving

    @property
    def reachable_ids(self) -> tuple[int, ...]:
        """Other members that are heard and hear this VM, leaving ones included."""
        return self._reachable

    def unreachable_ids(self) -> tuple[int, ...]:
        """Returns members that fell silent and are not yet forgotten."""
        reachable = set(self._reachable)
        return tuple(i for i in self.members if i not in reachable and i != self.own.id)

    def heard_ids(self, now_s: float) -> list[int]:
        """Returns the members that were heard within the suspicion bound.

        Args:
            now_s: Current time.
        """
        return [m.id for m in self.members.values() if now_s - m.heard_s < SUSPECT_S]

    def home_id(self, flow: bytes) -> int:
        """Returns the home of a flow.

        Args:
            flow: The flow's key.
        """
        return self._slots.lookup(flow)

    def placer_id(self, service_key: bytes) -> int:
        """Returns the placer of a service.

        Args:
            service_key: The service's name as bytes.
        """
        if self.places_locally:
            return self.own.id
        found = self._placers.get(service_key)
        if found is None:
            found = self._placers[service_key] = hashing.rendezvous_first(
                service_key, self._serving
            )
        return found

    def placer_order(self, service_key: bytes) -> list[int]:
        """Returns the serving members in the order in which they take over placing.

        Args:
            service_key: The service's name as bytes.
        """
        return hashing.rendezvous_order(service_key, self._serving)

    def next_sibling_to_query(
        self, flow: bytes, service_key: bytes, asked_ids: set[int]
    ) -> int | None:
        """Chooses the sibling that most likely knows a flow's target.

        The placer comes first, then leaving members, then the order in which homes take over.

        Args:
            flow: The flow's key.
            service_key: Its service's name as bytes.
            asked_ids: Members that need not be asked.

        Returns:
            A member's id, or None where all were asked.
        """
        left = [i for i in self._reachable if i not in asked_ids]
        if not left:
            return None
        placer = self.placer_id(service_key)
        if placer in left:
            return placer
        for member_id in left:
            if self.members[member_id].state is MemberState.LEAVING:
                return member_id
        return hashing.SlotTable.order(flow, left)[0]

    def incarnation_id_of(self, member_id: int) -> int:
        """Returns the number of a member's present incarnation.

        Args:
            member_id: Which member.

        Returns:
            Its incarnation_id, 0 where it is not known.
        """
        member = self.members.get(member_id)
        return member.incarnation_id if member is not None else 0

    def live_incarnation_ids(self, incarnation_ids: tuple[int, ...]) -> frozenset[int]:
        """Returns which other VMs that learnt something are still there to remember it.

        Args:
            incarnation_ids: Incarnation ids of the VMs that learnt it.

        Returns:
            Those of other VMs, reachable and not leaving.
        """
        return self._present.intersection(incarnation_ids)
