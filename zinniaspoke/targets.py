"""Announced targets, their leases, and the views by which a flow's base target is computed.

The base target of a flow is the first in rendezvous order among its service's targets. As these
change, earlier sets are retained as views, for the flows that were opened under them.
"""

import ipaddress
from collections.abc import Iterable

import attrs

from zinniaspoke import errors, hashing

DEFAULT_LEASE_S = 3.0
# A view is retained for this long after the next one began.
VIEW_RETENTION_S = 900.0
# Changes that follow one another within this time form one view.
VIEW_MERGE_WINDOW_S = 2.0
MAX_VIEWS = 8
NEVER_S = float("inf")


@attrs.frozen(kw_only=True)
class Target:
    """One process that serves one service.

    A new process at the same address has another incarnation and is therefore another target.

    Attributes:
        address: IP address, 4 or 16 bytes.
        port: Port that the service listens on.
        service: Name of the service.
        incarnation: Increases with every new process at the address.
        geneve_port: UDP port at which the target's kernel decapsulates packets.
        slot_count: Requests that it runs concurrently.
        connection_limit: Maximum number of connections.
        zone: Its availability zone.
        health_address: Address of its health check, or empty.
        tag: 32-bit hash of address, port, service and incarnation.
        endpoint: Address as text and Geneve port.
    """

    address: bytes
    port: int
    service: str
    incarnation: int
    geneve_port: int
    slot_count: int = attrs.field(eq=False, default=2)
    connection_limit: int = attrs.field(eq=False, default=2000)
    zone: str = attrs.field(eq=False, default="")
    health_address: str = attrs.field(eq=False, default="")
    tag: int = attrs.field(init=False, eq=False)
    endpoint: tuple[str, int] = attrs.field(init=False, eq=False, repr=False)

    @tag.default
    def _compute_tag(self) -> int:
        return hashing.short_hash(
            self.address
            + self.port.to_bytes(2, "big")
            + self.incarnation.to_bytes(8, "big")
            + self.service.encode()
        )

    @endpoint.default
    def _compute_endpoint(self) -> tuple[str, int]:
        return str(ipaddress.ip_address(self.address)), self.geneve_port

    @property
    def name(self) -> str:
        """Service, address and incarnation in readable form."""
        return f"{self.service}@{self.endpoint[0]}/{self.incarnation}"


@attrs.define(kw_only=True, slots=True)
class TargetState:
    """A target and its current state.

    Attributes:
        target: The target.
        version: Increases with every announcement that changes the state.
        is_draining: Whether it announces that it accepts no new flows.
        renewed_s: When its lease was last renewed, on this VM's clock.
        lease_s: Duration of the lease.
        first_seen_s: When any entry VM first received its announcement, on this VM's clock.
        replaced_s: When a newer incarnation was first seen at its address.
        usable_from_s: Before this it gets no flows, as packets of an older process's flows may
            still arrive at the address.
        answered_s: When this VM last forwarded a packet that only the target's service sends.
        is_held: Whether an operator drains it, regardless of its announcements.
        held_at_ms: When an operator last set or cleared this, in milliseconds since 1970.
        is_evacuated: Whether its availability zone is evacuated.
    """

    target: Target
    version: int
    is_draining: bool
    renewed_s: float
    lease_s: float = DEFAULT_LEASE_S
    first_seen_s: float = NEVER_S
    replaced_s: float = NEVER_S
    usable_from_s: float = 0.0
    answered_s: float = -1e9
    is_held: bool = False
    held_at_ms: int = 0
    is_evacuated: bool = False

    @property
    def is_replaced(self) -> bool:
        """Whether a newer incarnation runs at its address."""
        return self.replaced_s < NEVER_S

    def owns_address(self, now_s: float) -> bool:
        """Tells whether this process certainly still runs at its address.

        A new process there waits until the old one's lease has expired, so a VM that receives
        announcements of neither must stop sending to the address by then.

        Args:
            now_s: Current time.

        Returns:
            True while no newer process is known and the last renewal or answer is younger than the
            lease.
        """
        if self.is_replaced:
            return False
        return now_s - max(self.renewed_s, self.answered_s) < self.lease_s

    def accepts_new_flows(self, now_s: float) -> bool:
        """Tells whether new flows may be placed on this target.

        Args:
            now_s: Current time.

        Returns:
            True while it is usable and not draining, its zone is not evacuated, its lease is
            valid, and no newer process has its address.
        """
        is_leaving = self.is_draining or self.is_held or self.is_replaced or self.is_evacuated
        is_usable = now_s >= self.usable_from_s and now_s - self.renewed_s < self.lease_s
        return is_usable and not is_leaving


@attrs.frozen(kw_only=True)
class View:
    """The set of a service's targets during one interval.

    Attributes:
        tags: The targets' tags.
        ends_s: When the next view begins.
    """

    tags: tuple[int, ...]
    ends_s: float


class TargetTable:
    """All targets that an entry VM knows, indexed by tag, service and address.

    Attributes:
        states: The targets' states by tag.
    """

    EXPIRY_S = 3600.0

    def __init__(self) -> None:
        """Starts with no targets."""
        self.states: dict[int, TargetState] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._by_address: dict[bytes, list[TargetState]] = {}
        self._views: dict[str, list[View]] = {}
        self._evacuated_zones: frozenset[str] = frozenset()

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Marks the targets of evacuated zones, known ones and those learnt later.

        Args:
            zones: Names of the evacuated zones.
        """
        self._evacuated_zones = zones
        for state in self.states.values():
            state.is_evacuated = state.target.zone in zones

    def merge(self, incoming: TargetState, now_s: float) -> bool:
        """Merges an announcement, received from the target itself or from another entry VM.

        Args:
            incoming: The announced state; ``renewed_s`` is on this VM's clock.
            now_s: Current time.

        Returns:
            True if the announcement did more than renew the lease.
        """
        known = self.states.get(incoming.target.tag)
        if known is None:
            self._add(incoming, now_s)
            return True
        known.renewed_s = max(known.renewed_s, incoming.renewed_s)
        has_changed = self._merge_operator_drain(known, incoming)
        if incoming.version <= known.version:
            return has_changed
        known.version = incoming.version
        known.is_draining = incoming.is_draining
        known.lease_s = incoming.lease_s
        return True

    @staticmethod
    def _merge_operator_drain(known: TargetState, incoming: TargetState) -> bool:
        if incoming.held_at_ms <= known.held_at_ms:
            return False
        known.held_at_ms = incoming.held_at_ms
        known.is_held = incoming.is_held
        return True

    def _add(self, state: TargetState, now_s: float) -> None:
        target = state.target
        state.is_evacuated = target.zone in self._evacuated_zones
        state.first_seen_s = min(state.first_seen_s, now_s)
        state.usable_from_s = now_s + self.old_lease_left_s(target, now_s)
        for other in self._by_address.get(target.address, []):
            if other.target.port != target.port:
                continue
            is_older = other.target.incarnation <= target.incarnation
            old, new = (other, state) if is_older else (state, other)
            old.replaced_s = min(old.replaced_s, max(new.first_seen_s, old.first_seen_s))
        self.states[target.tag] = state
        self._by_service.setdefault(target.service, []).append(state)
        self._by_address.setdefault(target.address, []).append(state)
        self._rebuild_views()

    def _rebuild_views(self) -> None:
        """Computes the views from the times at which targets were first seen and replaced.

        All entry VMs share these times, including VMs that joined later.
        """
        self._views = {
            service: _build_views(states) for service, states in self._by_service.items()
        }

    def remove_expired(self, now_s: float) -> list[Target]:
        """Removes targets whose lease was not renewed for ``EXPIRY_S``.

        Args:
            now_s: Current time.

        Returns:
            The removed targets.
        """
        expired = [s for s in self.states.values() if now_s - s.renewed_s > self.EXPIRY_S]
        for state in expired:
            del self.states[state.target.tag]
            self._by_service[state.target.service].remove(state)
            self._by_address[state.target.address].remove(state)
        if expired:
            self._rebuild_views()
        return [state.target for state in expired]

    def is_replaced(self, target: Target) -> bool:
        """Tells whether a newer process runs at a target's address.

        Args:
            target: The target.
        """
        state = self.states.get(target.tag)
        return state is not None and state.is_replaced

    def owns_address(self, target: Target, now_s: float) -> bool:
        """Tells whether packets may be sent to a target; see ``TargetState.owns_address``.

        Args:
            target: The target.
            now_s: Current time.
        """
        state = self.states.get(target.tag)
        return state is not None and state.owns_address(now_s)

    def old_lease_left_s(self, target: Target, now_s: float) -> float:
        """Returns how long packets for another process may still arrive at a target's address.

        Args:
            target: The new process.
            now_s: Current time.

        Returns:
            Seconds until the leases of other processes there have expired; 0 if there are none.
        """
        left_s = [
            state.lease_s - (now_s - max(state.renewed_s, state.answered_s))
            for state in self._by_address.get(target.address, [])
            if state.target.port == target.port and state.target.tag != target.tag
        ]
        return max(0.0, *left_s, 0.0)

    def of_service(self, service: str) -> list[TargetState]:
        """Returns the states of a service's targets, including draining and expired ones."""
        return self._by_service.get(service, [])

    def at_address(self, address: bytes, service: str | None) -> Target | errors.Nothing:
        """Finds the newest target at an address.

        Args:
            address: Outer source address of a return packet, packed.
            service: Service to prefer if several run there, or None.

        Returns:
            The target, or the reason why there is none.
        """
        found = self._by_address.get(address)
        if not found:
            return errors.Nothing(reason="unknown_target")
        if len(found) > 1:
            preferred = [s for s in found if s.target.service == service] or found
            return max(preferred, key=lambda state: state.target.incarnation).target
        return found[0].target

    def base_target(self, flow: bytes, service: str, now_s: float) -> Target | errors.Nothing:
        """Finds the base target if it is the same in every retained view.

        A flow may have been opened under any retained view, so there is none where they differ.

        Args:
            flow: The flow's key.
            service: The flow's service.
            now_s: Current time.

        Returns:
            The target, or the reason why there is none.
        """
        views = self._views.get(service)
        if not views:
            return errors.Nothing(reason="no_target")
        retained = [view for view in views if now_s - view.ends_s <= VIEW_RETENTION_S]
        candidates = {hashing.rendezvous_first(flow, view.tags) for view in retained}
        if len(candidates) != 1:
            return errors.Nothing(reason="views_disagree")
        state = self.states.get(candidates.pop())
        if state is None:
            return errors.Nothing(reason="views_disagree")
        return state.target


def rendezvous_target(flow: bytes, candidates: Iterable[Target]) -> Target:
    """Returns the first of the given targets in a flow's rendezvous order.

    Args:
        flow: The flow's key.
        candidates: At least one target.

    Returns:
        The target with the highest rendezvous weight.
    """
    by_tag = {target.tag: target for target in candidates}
    return by_tag[hashing.rendezvous_first(flow, list(by_tag))]


def _build_views(states: Iterable[TargetState]) -> list[View]:
    """Returns a service's latest views, oldest first.

    Changes within ``VIEW_MERGE_WINDOW_S`` of the previous one are merged into one view.
    """
    change_times_s = sorted(
        {state.first_seen_s for state in states}
        | {state.replaced_s for state in states if state.is_replaced}
    )
    starts: list[float] = []
    for change_s in change_times_s:
        if starts and change_s - starts[-1] <= VIEW_MERGE_WINDOW_S:
            starts[-1] = change_s
        else:
            starts.append(change_s)
    starts = starts[-MAX_VIEWS:]
    ends = [*starts[1:], NEVER_S]
    views = []
    for start_s, end_s in zip(starts, ends, strict=True):
        tags = sorted(
            state.target.tag for state in states if state.first_seen_s <= start_s < state.replaced_s
        )
        if tags:
            views.append(View(tags=tuple(tags), ends_s=end_s))
    return views
