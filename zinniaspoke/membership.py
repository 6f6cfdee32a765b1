"""Membership of entry VMs, and the choice of homes and placers among them.

A flow's home is the entry VM that holds the flow's record. A service's placer is the entry VM that
chooses targets for the service's new flows. Both are chosen by rendezvous hashing over the serving
members.
"""

import enum

import attrs

from zinniaspoke import hashing

HEARTBEAT_INTERVAL_S = 0.2
SUSPECT_TIMEOUT_S = 0.7
REMOVAL_TIMEOUT_S = 10.0
JOIN_DELAY_S = 1.0


class MemberState(enum.IntEnum):
    """The state that an entry VM reports of itself; the numbers are sent on the wire."""

    JOINING = 1
    SERVING = 2
    LEAVING = 3


@attrs.define(kw_only=True, slots=True)
class Member:
    """One entry VM.

    Attributes:
        name: Its name, unique in the deployment.
        zone: Its availability zone.
        host: IP address of its sockets.
        data_port: UDP port for packets.
        control_port: UDP port for control datagrams.
        http_port: TCP port for announcements.
        incarnation: Number that increases with every start.
        state: The state that it reports of itself.
        heard_s: When its last heartbeat arrived; negative if none has.
        hears_us: Whether it receives this VM's heartbeats.
        registered_s: When this VM learnt of the member's current incarnation.
        acknowledges_leave: Whether its last heartbeat acknowledged that this VM is leaving.
        rule_number: Number of the rules that it has in force.
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
    registered_s: float = 0.0
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
        """The endpoint that receives packets."""
        return self.host, self.data_port

    @property
    def control_endpoint(self) -> tuple[str, int]:
        """The endpoint that receives control datagrams."""
        return self.host, self.control_port


class Membership:
    """One entry VM's view of its group.

    Attributes:
        own: This VM.
        members: Known members by id, this VM included.
        version: Number that increases when the reachable or the serving members change.
        places_locally: Whether each home places its own flows, instead of one placer per service.
    """

    def __init__(self, *, own: Member, now_s: float) -> None:
        """Creates a view with this VM as the only member.

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
        self._live_incarnation_ids: frozenset[int] = frozenset()
        self._slots = hashing.SlotTable(node_ids=[own.id])
        self._placers: dict[str, int] = {}
        self._refresh(now_s)

    def register(self, incoming: Member, now_s: float) -> bool:
        """Adds a member, or replaces an earlier incarnation of it.

        Args:
            incoming: The member's description.
            now_s: Current time.

        Returns:
            Whether the member or its incarnation was not known before.
        """
        known = self.members.get(incoming.id)
        if incoming.id == self.own.id:
            return False
        if known is not None and known.incarnation >= incoming.incarnation:
            return False
        incoming.registered_s = now_s
        incoming.heard_s = -1e9
        incoming.hears_us = False
        self.members[incoming.id] = incoming
        self._refresh(now_s)
        return True

    def record_heartbeat(
        self, member_id: int, state: MemberState, hears_us: bool, now_s: float
    ) -> None:
        """Records a member's heartbeat.

        Args:
            member_id: Id of a known member.
            state: The state that it reports of itself.
            hears_us: Whether it receives this VM's heartbeats.
            now_s: Current time.
        """
        member = self.members[member_id]
        member.heard_s = now_s
        member.state = state
        member.hears_us = hears_us
        self._refresh(now_s)

    def tick(self, now_s: float) -> None:
        """Starts serving when the join delay has passed, and removes members that timed out.

        Args:
            now_s: Current time.
        """
        if self.own.state is MemberState.JOINING and self._has_join_delay_passed(now_s):
            self.own.state = MemberState.SERVING
        for member_id in [m.id for m in self.members.values() if self._has_timed_out(m, now_s)]:
            del self.members[member_id]
        self._refresh(now_s)

    def _has_join_delay_passed(self, now_s: float) -> bool:
        return now_s - self._started_s >= JOIN_DELAY_S

    def _has_timed_out(self, member: Member, now_s: float) -> bool:
        last_heard_s = max(member.heard_s, member.registered_s)
        return member is not self.own and now_s - last_heard_s > REMOVAL_TIMEOUT_S

    def _refresh(self, now_s: float) -> None:
        others = [m for m in self.members.values() if m is not self.own]
        live = [m for m in others if now_s - m.heard_s < SUSPECT_TIMEOUT_S and m.hears_us]
        serving = {m.id for m in live if m.state is MemberState.SERVING}
        if self.own.state is MemberState.SERVING or not serving:
            serving.add(self.own.id)
        reachable = tuple(sorted(m.id for m in live))
        staying = (m for m in live if m.state is not MemberState.LEAVING)
        self._live_incarnation_ids = frozenset(m.incarnation_id for m in staying)
        serving_ids = tuple(sorted(serving))
        if reachable != self._reachable:
            self._reachable = reachable
            self.version += 1
        if serving_ids != self._serving:
            self._serving = serving_ids
            self._slots = hashing.SlotTable(node_ids=serving_ids)
            self._placers.clear()
            self.version += 1

    @property
    def serving_ids(self) -> tuple[int, ...]:
        """Members that may be homes and placers.

        This VM is among them while it is serving. It is also if no reachable member is serving, so
        that each flow always has a home.
        """
        return self._serving

    @property
    def reachable_ids(self) -> tuple[int, ...]:
        """Other members with heartbeats in both directions, leaving ones included."""
        return self._reachable

    def unreachable_ids(self) -> tuple[int, ...]:
        """Returns other members that are not reachable and have not been removed yet."""
        reachable = set(self._reachable)
        return tuple(i for i in self.members if i not in reachable and i != self.own.id)

    def heard_ids(self, now_s: float) -> list[int]:
        """Returns the members whose last heartbeat is younger than SUSPECT_TIMEOUT_S.

        Args:
            now_s: Current time.
        """
        return [m.id for m in self.members.values() if now_s - m.heard_s < SUSPECT_TIMEOUT_S]

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
        self, flow: bytes, service_key: bytes, queried_ids: set[int]
    ) -> int | None:
        """Chooses the sibling that most likely knows a flow's target.

        The order is: the placer, then leaving members, then the other members in the order in which
        they become the flow's home.

        Args:
            flow: The flow's key.
            service_key: Its service's name as bytes.
            queried_ids: Members that are not to be queried.

        Returns:
            A member's id, or None if no reachable member is left.
        """
        candidates = [i for i in self._reachable if i not in queried_ids]
        if not candidates:
            return None
        placer = self.placer_id(service_key)
        if placer in candidates:
            return placer
        for member_id in candidates:
            if self.members[member_id].state is MemberState.LEAVING:
                return member_id
        return hashing.SlotTable.order(flow, candidates)[0]

    def incarnation_id_of(self, member_id: int) -> int:
        """Returns the id of a member's current incarnation.

        Args:
            member_id: The member's id.

        Returns:
            The incarnation id, or 0 for an unknown member.
        """
        member = self.members.get(member_id)
        return member.incarnation_id if member is not None else 0

    def live_incarnation_ids(self, incarnation_ids: tuple[int, ...]) -> frozenset[int]:
        """Returns those incarnation ids that belong to live siblings.

        A sibling that has restarted has lost its witnesses and has a new incarnation id. A leaving
        one is about to lose them.

        Args:
            incarnation_ids: The ids to filter.

        Returns:
            The ids of siblings that are reachable, not leaving, and not restarted since.
        """
        return self._live_incarnation_ids.intersection(incarnation_ids)
