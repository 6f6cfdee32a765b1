"""Ways in which any entry VM finds a flow's target, registered by name; only one is loaded."""

import importlib
from collections.abc import Callable

import attrs

from zinniaspoke import errors


@attrs.frozen(kw_only=True)
class Carriage:
    """What the form of a deployment's packets offers.

    Attributes:
        shows_answers: Targets' packets to callers pass the entry VMs.
        returns_token: Both ends send back a field that an entry VM wrote into the opening.
    """

    shows_answers: bool = False
    returns_token: bool = False


@attrs.frozen(kw_only=True)
class Way:
    """A registered way.

    Attributes:
        make: Builds the core from the parts that its constructor takes.
        needs: Field of ``Carriage`` without which it finds nothing.
    """

    make: Callable[..., object]
    needs: str


_WAYS: dict[str, Way] = {}


def register(name: str, *, needs: str) -> Callable:
    """Registers a way under a name for the settings.

    Args:
        name: The way's name.
        needs: Field of ``Carriage`` without which it finds nothing.
    """

    def add(make: Callable[..., object]) -> Callable[..., object]:
        _WAYS[name] = Way(make=make, needs=needs)
        return make

    return add


def names() -> tuple[str, ...]:
    """Returns the names of all ways."""
    return tuple(sorted(_WAYS))


def check(name: str, carriage: Carriage) -> None:
    """Checks that a way works with a form of packets.

    Args:
        name: The way's name.
        carriage: What the packets offer.

    Raises:
        errors.SettingsError: It is unknown or lacks what it needs.
    """
    way = _WAYS.get(name)
    if way is None:
        reason = f"{name!r} is not one of {', '.join(names())}"
    elif not getattr(carriage, way.needs):
        reason = f"{name!r} needs packets with {way.needs}"
    else:
        return
    raise errors.SettingsError(step="check settings", peer="flow_location", reason=reason)


def create(name: str, carriage: Carriage, **parts: object) -> object:
    """Builds the core that finds flows in the given way.

    Args:
        name: The way's name.
        carriage: What the packets offer.
        **parts: What the core's constructor takes.

    Raises:
        errors.SettingsError: The way is unknown or lacks what it needs.
    """
    check(name, carriage)
    return _WAYS[name].make(**parts)


@register("homes", needs="shows_answers")
def _make_homes(**parts: object) -> object:
    """A home for each flow, its record taught by the answers that pass: ``entry.Entry``."""
    return importlib.import_module("zinniaspoke.entry").Entry(**parts)


@register("tokens", needs="returns_token")
def _make_tokens(**parts: object) -> object:
    """The target's token in every packet, no record needed: ``steering.Steering``."""
    return importlib.import_module("zinniaspoke.steering").Steering(**parts)
