"""The replicated state machine of zone orders: which availability zones are evacuated."""

import re

import attrs

from zinniaspoke import errors
from zinniaspoke.proto import control_pb2

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
# Zones that one deployment may have; orders name arbitrary zones where no list is configured.
MAX_ZONE_COUNT = 256


@attrs.frozen(kw_only=True)
class Decision:
    """The outcome of a committed order.

    Attributes:
        is_yes: Whether the order is answered with yes.
        reason: Explanation for the operator.
    """

    is_yes: bool
    reason: str


def check_zone(zone: str, known: tuple[str, ...]) -> None:
    """Checks the zone that an order names.

    Args:
        zone: The zone.
        known: The deployment's zones; empty if they are not configured.

    Raises:
        errors.ZoneError: The name is malformed, or no zone of the deployment has it.
    """
    if not NAME_PATTERN.fullmatch(zone):
        raise _zone_error(zone, "name is not 1 to 64 letters, digits, '.', '_' or '-'")
    if known and zone not in known:
        raise _zone_error(zone, f"unknown zone; known are {', '.join(known)}")


def _zone_error(zone: str, reason: str) -> errors.ZoneError:
    return errors.ZoneError(step="check zone order", peer=repr(zone)[:80], reason=reason)


class Evacuations:
    """The evacuated zones.

    Attributes:
        zones: Names of the evacuated zones.
        revision: Number of orders that changed ``zones``.
    """

    def __init__(self) -> None:
        """Starts with no evacuated zone."""
        self.zones: frozenset[str] = frozenset()
        self.revision = 0

    def apply(self, order: control_pb2.ZoneOrder) -> Decision:
        """Applies a committed order.

        Args:
            order: The order.
        """
        state = "evacuated" if order.is_evacuated else "not evacuated"
        if (order.zone in self.zones) == order.is_evacuated:
            return Decision(is_yes=True, reason=f"nothing changes: {order.zone} is {state}")
        if order.is_evacuated and len(self.zones) >= MAX_ZONE_COUNT:
            reason = f"{MAX_ZONE_COUNT} zones are evacuated, which is the limit"
            return Decision(is_yes=False, reason=reason)
        self.zones = self.zones ^ {order.zone}
        self.revision += 1
        return Decision(is_yes=True, reason=f"{order.zone} is {state}, change {self.revision}")

    def save(self, snapshot: control_pb2.Snapshot) -> None:
        """Adds the state to a snapshot.

        Args:
            snapshot: The snapshot to fill.
        """
        snapshot.evacuated_zones.extend(sorted(self.zones))
        snapshot.places_revision = self.revision

    def load(self, snapshot: control_pb2.Snapshot) -> None:
        """Replaces the state by that of a snapshot; one of the version before has none.

        Args:
            snapshot: The snapshot to read.
        """
        self.zones = frozenset(snapshot.evacuated_zones)
        self.revision = snapshot.places_revision
