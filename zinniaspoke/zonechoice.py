"""Prefers targets of this VM's availability zone, and spills over to others as it gets busy.

See ``docs/design/zones.md``. The share that is sent away follows how much longer requests wait in
the own zone than in the others, as this VM measures it.
"""

import random
from collections.abc import Callable

import attrs

from zinniaspoke import choosing, errors, selection

# With fewer targets of the service the own zone is not preferred: they are too small a queue.
LEAST_TARGET_COUNT = 4
# A route's base follows its response times, downward faster, so that it stays low under load.
BASE_WEIGHT_DOWN = 1 / 100
BASE_WEIGHT_UP = 1 / 400
LEAST_BASE_S = 1e-4
# A request that took longer counts as this many bases.
WAIT_LIMIT = 10.0
# Weight of a new measurement in the average, and how fast one that is not renewed is forgotten.
WAIT_WEIGHT = 1 / 8
WAIT_HALF_LIFE_S = 2.0
# Bases by which requests may take longer in the own zone.
TOLERATED_WAIT = 0.3
# Share that a difference of one base sends away at once, and by how much a second it raises it.
PROPORTIONAL_SHARE = 0.25
INTEGRAL_SHARE_PER_S = 0.1
# The same for the way back.
RETURN_SHARE_PER_S = 0.2
DIFFERENCE_LIMIT = 4.0
# The same for a calm own zone, so that its flows return over some seconds.
RETURN_LIMIT = 2.0
SHARE_LIMIT = 0.95
# Integrated share while the own zone has no target, from which its flows return.
ABSENT_SHARE = 0.9
# Time without openings that counts at most; a long pause proves nothing.
ELAPSED_LIMIT_S = 1.0


@attrs.define(kw_only=True, slots=True)
class Wait:
    """How long requests took lately, in units of their route's base.

    Attributes:
        value: The average.
        measured_s: When it was last measured.
    """

    value: float = 1.0
    measured_s: float = -1e9

    def at(self, now_s: float) -> float:
        """Returns the average, nearer to one base the longer ago it was measured.

        Args:
            now_s: Current time.
        """
        age_s = min(max(0.0, now_s - self.measured_s), 60.0)
        return 1.0 + (self.value - 1.0) * 0.5 ** (age_s / WAIT_HALF_LIFE_S)

    def record(self, wait: float, now_s: float) -> None:
        """Takes a measurement into the average.

        Args:
            wait: How long a request took.
            now_s: Current time.
        """
        known = self.at(now_s) if now_s - self.measured_s > WAIT_HALF_LIFE_S else self.value
        self.value = known + WAIT_WEIGHT * (wait - known)
        self.measured_s = now_s


@attrs.define(kw_only=True, slots=True)
class ServiceState:
    """What is known of a service.

    Attributes:
        waits: Waits by availability zone.
        integral: The integrated part of the share that is sent away.
        decided_s: When the share was last computed.
        share: The share that is sent away.
    """

    waits: dict[str, Wait] = attrs.field(factory=dict)
    integral: float = 0.0
    decided_s: float = -1e9
    share: float = 0.0


class ZoneChoice:
    """Chooses the availability zone of an opening."""

    def __init__(
        self, *, own_zone: str, rng: random.Random, count: Callable[[str], None] | None = None
    ) -> None:
        """Starts without measurements.

        Args:
            own_zone: This VM's availability zone.
            rng: Seeded random source.
            count: Called with the counter's name for each opening.
        """
        self._own_zone = own_zone
        self._rng = rng
        self._count = count or (lambda _name: None)
        self._bases: dict[bytes, float] = {}
        self._services: dict[str, ServiceState] = {}

    def share_away(self, service: str) -> float:
        """Returns the share of a service's openings that other zones get.

        Args:
            service: The service.
        """
        state = self._services.get(service)
        return state.share if state else 0.0

    def record_response(
        self, load: choosing.Load, route: bytes, duration_s: float, now_s: float
    ) -> None:
        """Takes the time that a target needed for a request.

        Args:
            load: The target.
            route: The request's route.
            duration_s: From its last new packet to the first bytes of the response.
            now_s: Current time.
        """
        base_s = self._bases.get(route)
        if base_s is None:
            base_s = self._bases[route] = max(duration_s, LEAST_BASE_S)
        weight = BASE_WEIGHT_UP if duration_s > base_s else BASE_WEIGHT_DOWN
        self._bases[route] = max(base_s + weight * (duration_s - base_s), LEAST_BASE_S)
        wait = min(duration_s / base_s, WAIT_LIMIT)
        state = self._services.setdefault(load.target.service, ServiceState())
        state.waits.setdefault(load.target.zone, Wait()).record(wait, now_s)

    def choose(self, loads: selection.Loads, query: selection.Query) -> selection.Loads:
        """Returns the candidates of the zone that gets an opening.

        Args:
            loads: Targets that may be used.
            query: The opening.
        """
        if len(loads) == 1:
            # Nothing to choose. An opening that tries a target under verdict comes with that one
            # alone, wherever it is, and says nothing of the own zone.
            return loads
        by_zone: dict[str, list[choosing.Load]] = {}
        for load in loads:
            by_zone.setdefault(load.target.zone, []).append(load)
        own = by_zone.pop(self._own_zone, [])
        state = self._services.setdefault(query.service, ServiceState())
        if not own:
            state.integral = state.share = ABSENT_SHARE
            state.decided_s = query.now_s
            self._count("zone_other_none_usable")
            return loads
        if not by_zone:
            self._count("zone_own")
            return loads
        waits = {zone: self._wait(state, zone, query.now_s) for zone in by_zone}
        self._update_share(state, min(waits.values()), query.now_s)
        if len(own) < LEAST_TARGET_COUNT:
            self._count("zone_not_preferred")
            return loads
        if self._rng.random() >= state.share:
            self._count("zone_own")
            return own
        self._count("zone_other_busy")
        least = min(waits.values())
        weights = [
            sum(max(1, load.target.slot_count) for load in by_zone[zone])
            / (1 + waits[zone] - least)
            for zone in by_zone
        ]
        return by_zone[self._rng.choices(list(by_zone), weights)[0]]

    @staticmethod
    def _wait(state: ServiceState, zone: str, now_s: float) -> float:
        wait = state.waits.get(zone)
        return wait.at(now_s) if wait else 1.0

    def _update_share(self, state: ServiceState, least_wait: float, now_s: float) -> None:
        own_wait = self._wait(state, self._own_zone, now_s)
        difference = own_wait - least_wait - TOLERATED_WAIT
        difference = min(max(difference, -RETURN_LIMIT), DIFFERENCE_LIMIT)
        elapsed_s = min(max(0.0, now_s - state.decided_s), ELAPSED_LIMIT_S)
        state.decided_s = now_s
        speed = INTEGRAL_SHARE_PER_S if difference > 0 else RETURN_SHARE_PER_S
        integral = state.integral + speed * difference * elapsed_s
        state.integral = min(max(0.0, integral), SHARE_LIMIT)
        share = state.integral + PROPORTIONAL_SHARE * max(0.0, difference)
        state.share = min(share, SHARE_LIMIT)


@selection.register("zone", order=60, reason=errors.Nothing(reason="no_zone"))
def _make_zone(context: selection.Context) -> selection.Filter | None:
    """Keeps the candidates of one availability zone, the own one unless it spills over."""
    if not context.zone_preference or not context.own_zone:
        return None

    def count(name: str) -> None:
        context.counts.events[name] += 1

    choice = ZoneChoice(own_zone=context.own_zone, rng=context.rng, count=count)
    context.observers.append(choice.record_response)
    return choice.choose
