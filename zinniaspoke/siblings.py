"""Rolling stops of entry VMs: which VMs of an availability zone are in rotation.

Siblings are the entry VMs of one zone. If fewer than half of them are in rotation, the fabric sends
packets to all of them, including those that have stopped. A planned stop therefore waits until
enough siblings are in rotation.
"""

import enum

import attrs

# The fabric checks readiness twice a second; a VM that becomes ready is in rotation after that.
ROTATION_DELAY_S = 0.6
# A VM that has to stop leaves without the states of others if none arrive in this time.
STATES_TIMEOUT_S = 0.5
# A VM whose connection was lost counts as removed if it has not returned after this time.
LOST_RETENTION_S = 10.0


class State(enum.IntEnum):
    """Rotation state of an entry VM."""

    STARTING = 0
    READY = 1
    # Asked to stop, but still in rotation.
    STOPPING = 2
    # Out of rotation: it reports that it is not ready.
    LEFT = 3
    # The connection to the control VM was lost.
    LOST = 4


@attrs.frozen(kw_only=True)
class Sibling:
    """An entry VM of a zone.

    Attributes:
        name: Its name.
        state: The state that it last sent, or ``LOST``.
        since_s: When it entered the state, on this process's clock.
    """

    name: str
    state: State
    since_s: float

    def has_expired(self, now_s: float) -> bool:
        """Whether it was lost so long ago that it counts as removed.

        Args:
            now_s: Current time.
        """
        return self.state is State.LOST and now_s - self.since_s > LOST_RETENTION_S


@attrs.define(kw_only=True, slots=True)
class _Zone:
    revision: int = 0
    members: dict[str, Sibling] = attrs.field(factory=dict)
    # The revision at each member's last change.
    changed_at: dict[str, int] = attrs.field(factory=dict)


class Directory:
    """Rotation states of entry VMs by zone, as a control VM knows them from its connections."""

    def __init__(self) -> None:
        """Starts empty."""
        self._zones: dict[str, _Zone] = {}

    def record(self, zone: str, name: str, state: State, now_s: float) -> None:
        """Records the state of an entry VM.

        Args:
            zone: Its availability zone.
            name: Its name.
            state: The state that it sent, or ``LOST`` when its connection was lost.
            now_s: Current time.
        """
        known = self._zones.setdefault(zone, _Zone())
        before = known.members.get(name)
        if before is None or before.state is not state:
            known.members[name] = Sibling(name=name, state=state, since_s=now_s)
            known.revision += 1
            known.changed_at[name] = known.revision

    def revision(self, zone: str) -> int:
        """Returns a number that increases with each change in a zone.

        Args:
            zone: The availability zone.
        """
        known = self._zones.get(zone)
        return known.revision if known is not None else 0

    def changed_since(self, zone: str, revision: int) -> tuple[Sibling, ...]:
        """Returns the entry VMs of a zone whose state has changed.

        Args:
            zone: The availability zone.
            revision: The zone's revision that the receiver knows; 0 for all entry VMs.
        """
        known = self._zones.get(zone)
        if known is None:
            return ()
        return tuple(s for s in known.members.values() if known.changed_at[s.name] > revision)

    def tick(self, now_s: float) -> None:
        """Removes VMs that have been lost for too long; receivers do the same.

        Args:
            now_s: Current time.
        """
        for zone in self._zones.values():
            for name, sibling in list(zone.members.items()):
                if sibling.has_expired(now_s):
                    del zone.members[name], zone.changed_at[name]


def merge(reports: list[tuple[Sibling, ...]]) -> dict[str, Sibling]:
    """Merges the entry VMs that several control VMs reported.

    A state from a control VM that is connected to the entry VM overrides ``LOST`` from another;
    otherwise the newest state wins.

    Args:
        reports: The entry VMs that each control VM reported.
    """
    merged: dict[str, Sibling] = {}
    for sibling in (sibling for report in reports for sibling in report):
        known = merged.get(sibling.name)
        if known is None or _precedence(sibling) > _precedence(known):
            merged[sibling.name] = sibling
    return merged


def _precedence(sibling: Sibling) -> tuple[bool, float]:
    return sibling.state is not State.LOST, sibling.since_s


def may_leave(own_name: str, stopping_s: float, known: dict[str, Sibling], now_s: float) -> bool:
    """Returns whether an entry VM that has to stop may leave rotation now.

    Args:
        own_name: Its name.
        stopping_s: When it was asked to stop.
        known: The entry VMs of its zone; may include itself.
        now_s: Current time.

    Returns:
        Whether at least half of the zone stays in rotation. True as well if no other VM is in
        rotation: then other zones serve the zone's callers.
    """
    others = [sibling for name, sibling in known.items() if name != own_name]
    in_rotation = [sibling for sibling in others if _is_in_rotation(sibling, now_s)]
    # VMs that have to stop leave in the order in which they were asked to.
    own_position = (stopping_s, own_name)
    staying_count = sum(
        sibling.state is State.READY or (sibling.since_s, sibling.name) > own_position
        for sibling in in_rotation
    )
    return not in_rotation or 2 * staying_count >= len(others) + 1


def _is_in_rotation(sibling: Sibling, now_s: float) -> bool:
    if sibling.state is State.STOPPING:
        return True
    return sibling.state is State.READY and now_s - sibling.since_s >= ROTATION_DELAY_S
