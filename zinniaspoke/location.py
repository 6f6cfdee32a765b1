"""Strategies by which any entry VM finds a flow's target, registered by name.

A strategy builds a core, the object that decides where each packet goes and does no I/O. Only the
module of the strategy in use is imported.
"""

import importlib
from collections.abc import Callable

import attrs

from zinniaspoke import errors


@attrs.frozen(kw_only=True)
class PacketFeatures:
    """Features of a deployment's packet format and paths that strategies depend on.

    Attributes:
        has_return_traffic: Targets' packets to callers pass through the entry VMs.
        echoes_token: Both ends echo a field that an entry VM wrote into the flow's first packet.
    """

    has_return_traffic: bool = False
    echoes_token: bool = False


@attrs.frozen(kw_only=True)
class Strategy:
    """A registered strategy.

    Attributes:
        build: Builds the core from its constructor's keyword arguments.
        required_feature: The field of ``PacketFeatures`` that has to be true.
    """

    build: Callable[..., object]
    required_feature: str


_STRATEGIES: dict[str, Strategy] = {}


def register(name: str, *, required_feature: str) -> Callable:
    """Registers a strategy under the name that the settings use.

    Args:
        name: The strategy's name.
        required_feature: The field of ``PacketFeatures`` that has to be true.
    """

    def add(build: Callable[..., object]) -> Callable[..., object]:
        _STRATEGIES[name] = Strategy(build=build, required_feature=required_feature)
        return build

    return add


def names() -> tuple[str, ...]:
    """Returns the names of all strategies, sorted."""
    return tuple(sorted(_STRATEGIES))


def check(name: str, features: PacketFeatures) -> None:
    """Checks that the packets have the feature that a strategy requires.

    Args:
        name: The strategy's name.
        features: Features of the packets.

    Raises:
        errors.SettingsError: The strategy is unknown or its required feature is missing.
    """
    strategy = _STRATEGIES.get(name)
    if strategy is None:
        reason = f"{name!r} is not one of {', '.join(names())}"
    elif not getattr(features, strategy.required_feature):
        reason = f"{name!r} needs packets with {strategy.required_feature}"
    else:
        return
    raise errors.SettingsError(step="check settings", peer="flow_location", reason=reason)


def create(name: str, features: PacketFeatures, **arguments: object) -> object:
    """Builds the core that locates flows by the given strategy.

    Args:
        name: The strategy's name.
        features: Features of the packets.
        **arguments: Keyword arguments of the core's constructor.

    Raises:
        errors.SettingsError: The strategy is unknown or its required feature is missing.
    """
    check(name, features)
    return _STRATEGIES[name].build(**arguments)


@register("homes", required_feature="has_return_traffic")
def _make_homes(**arguments: object) -> object:
    """A home VM for each flow, which learns the target from its return traffic: ``entry.Entry``."""
    return importlib.import_module("zinniaspoke.entry").Entry(**arguments)


@register("tokens", required_feature="echoes_token")
def _make_tokens(**arguments: object) -> object:
    """The target's token in every packet, without flow records: ``steering.Steering``."""
    return importlib.import_module("zinniaspoke.steering").Steering(**arguments)
