"""Entry VMs of one availability zone, so that planned stops take turns.

Where fewer than half of a zone's entry VMs are in rotation, the fabric hands packets to all of
them, those that have ended included. A stop therefore waits until enough of the others are back.
"""

import enum

import attrs

# The fabric asks twice a second; a VM that has just become ready is in rotation after that.
ROTATION_DELAY_S = 0.6
# A VM that was lost and is not back after this long is taken to have been removed.
LOST_RETENTION_S = 10.0


class State(enum.IntEnum):
    """What an entry VM is to the fabric."""

    STARTING = 0
    READY = 1
    # In rotation, and asked to end.
    STOPPING = 2
    LEFT = 3
    LOST = 4


@attrs.frozen(kw_only=True)
class Sibling:
    """An entry VM.

    Attributes:
        name: Its name.
        state: What it said last, or that it was lost.
        since_s: Since when, on this process's clock.
    """

    name: str
    state: State
    since_s: float


@attrs.define(kw_only=True, slots=True)
class _Zone:
    revision: int = 0
    members: dict[str, Sibling] = attrs.field(factory=dict)


class Directory:
    """Entry VMs by zone, as a control VM knows them from its connections."""

    def __init__(self) -> None:
        """Starts empty."""
        self._zones: dict[str, _Zone] = {}

    def record(self, zone: str, name: str, state: State, now_s: float) -> None:
        """Notes what an entry VM said, or that its connection was lost.

        Args:
            zone: Its availability zone.
            name: Its name.
            state: Its state.
            now_s: Current time.
        """
        known = self._zones.setdefault(zone, _Zone())
        before = known.members.get(name)
        if before is None or before.state is not state:
            known.members[name] = Sibling(name=name, state=state, since_s=now_s)
            known.revision += 1

    def revision(self, zone: str) -> int:
        """Returns a number that rises with each change in a zone.

        Args:
            zone: The availability zone.
        """
        known = self._zones.get(zone)
        return known.revision if known is not None else 0

    def in_zone(self, zone: str) -> tuple[Sibling, ...]:
        """Returns the entry VMs of a zone.

        Args:
            zone: The availability zone.
        """
        known = self._zones.get(zone)
        return tuple(known.members.values()) if known is not None else ()

    def tick(self, now_s: float) -> None:
        """Forgets VMs that were removed.

        Args:
            now_s: Current time.
        """
        for zone in self._zones.values():
            for name, sibling in list(zone.members.items()):
                if sibling.state is State.LOST and now_s - sibling.since_s > LOST_RETENTION_S:
                    del zone.members[name]
                    zone.revision += 1


def merge(told: list[tuple[Sibling, ...]]) -> dict[str, Sibling]:
    """Joins what several control VMs told.

    A VM that one of them is connected to is not lost; of what is left the newest word counts.

    Args:
        told: What each of them told.
    """
    merged: dict[str, Sibling] = {}
    for sibling in (sibling for part in told for sibling in part):
        known = merged.get(sibling.name)
        if known is None or _rank(sibling) > _rank(known):
            merged[sibling.name] = sibling
    return merged


def _rank(sibling: Sibling) -> tuple[bool, float]:
    return sibling.state is not State.LOST, sibling.since_s


def may_leave(own_name: str, stopping_s: float, known: dict[str, Sibling], now_s: float) -> bool:
    """Tells whether an entry VM may ask for no more packets.

    Args:
        own_name: Its name.
        stopping_s: Since when it is to end.
        known: The entry VMs of its zone; itself may stand among them.
        now_s: Current time.

    Returns:
        Whether half of the zone stays in rotation, or nobody: then other zones serve its callers.
    """
    others = [sibling for name, sibling in known.items() if name != own_name]
    present = [sibling for sibling in others if _is_in_rotation(sibling, now_s)]
    # Of two that are to end, the one asked first goes first.
    own_turn = (stopping_s, own_name)
    staying_count = sum(
        sibling.state is State.READY or (sibling.since_s, sibling.name) > own_turn
        for sibling in present
    )
    return not present or 2 * staying_count >= len(others) + 1


def _is_in_rotation(sibling: Sibling, now_s: float) -> bool:
    if sibling.state is State.STOPPING:
        return True
    return sibling.state is State.READY and now_s - sibling.since_s >= ROTATION_DELAY_S
