"""Ways in which any entry VM finds a flow's target, registered by name; only one is loaded."""

import importlib
from collections.abc import Callable

import attrs

from zinniaspoke import errors


@attrs.frozen(kw_only=True)
class PacketFeatures:
    """What the form of a deployment's packets offers.

    Attributes:
        has_return_traffic: Targets' packets to callers pass the entry VMs.
        echoes_token: Both ends send back a field that an entry VM wrote into the opening.
    """

    has_return_traffic: bool = False
    echoes_token: bool = False


@attrs.frozen(kw_only=True)
class Way:
    """A registered way.

    Attributes:
        make: Builds the core from the parts that its constructor takes.
        needs: Field of ``PacketFeatures`` without which it finds nothing.
    """

    make: Callable[..., object]
    needs: str


_WAYS: dict[str, Way] = {}


def register(name: str, *, needs: str) -> Callable:
    """Registers a way under a name for the settings.

    Args:
        name: The way's name.
        needs: Field of ``PacketFeatures`` without which it finds nothing.
    """

    def add(make: Callable[..., object]) -> Callable[..., object]:
        _WAYS[name] = Way(make=make, needs=needs)
        return make

    return add


def names() -> tuple[str, ...]:
    """Returns the names of all ways."""
    return tuple(sorted(_WAYS))


def check(name: str, features: PacketFeatures) -> None:
    """Checks that a way works with a form of packets.

    Args:
        name: The way's name.
        features: What the packets offer.

    Raises:
        errors.SettingsError: It is unknown or lacks what it needs.
    """
    way = _WAYS.get(name)
    if way is None:
        reason = f"{name!r} is not one of {', '.join(names())}"
    elif not getattr(features, way.needs):
        reason = f"{name!r} needs packets with {way.needs}"
    else:
        return
    raise errors.SettingsError(step="check settings", peer="flow_location", reason=reason)


def create(name: str, features: PacketFeatures, **parts: object) -> object:
    """Builds the core that finds flows in the given way.

    Args:
        name: The way's name.
        features: What the packets offer.
        **parts: What the core's constructor takes.

    Raises:
        errors.SettingsError: The way is unknown or lacks what it needs.
    """
    check(name, features)
    return _WAYS[name].make(**parts)


@register("homes", needs="has_return_traffic")
def _make_homes(**parts: object) -> object:
    """A home for each flow, its record taught by the answers that pass: ``entry.Entry``."""
    return importlib.import_module("zinniaspoke.entry").Entry(**parts)


@register("tokens", needs="echoes_token")
def _make_tokens(**parts: object) -> object:
    """The target's token in every packet, no record needed: ``steering.Steering``."""
    return importlib.import_module("zinniaspoke.steering").Steering(**parts)
