"""Settings of the daemons: JSON files that are checked whole before any socket opens."""

import ipaddress
import json
import pathlib
from typing import TypeVar

import attrs
import cattrs

from zinniaspoke import burn, errors, levels, location, placement

Checked = TypeVar("Checked")
# Packets in Geneve pass entry VMs in both directions and are never altered.
PACKET_FEATURES = location.PacketFeatures(has_return_traffic=True)


@attrs.frozen(kw_only=True)
class Endpoint:
    """An IP number and a port.

    Attributes:
        host: IP number.
        port: Port, 1 to 65535.
    """

    host: str
    port: int

    @property
    def pair(self) -> tuple[str, int]:
        """The form that sockets take."""
        return self.host, self.port


@attrs.frozen(kw_only=True)
class Tls:
    """Files for TLS on gRPC.

    Attributes:
        certificate_file: PEM certificate chain of this process.
        key_file: PEM key of this process.
        ca_file: PEM certificates that peers are checked against.
    """

    certificate_file: str
    key_file: str
    ca_file: str


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds of an entry VM's tables.

    Attributes:
        flow_count: Most flows for which it is home.
        witness_count: Most witnesses that it keeps.
    """

    flow_count: int = 300_000
    witness_count: int = 300_000


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of ``zinniaspoke entry``.

    Attributes:
        name: The VM's name, unique in the deployment.
        zone: Its availability zone.
        host: IP number of its sockets.
        data_port: UDP port for packets in Geneve.
        control_port: UDP port for control datagrams.
        http_port: TCP port for announcements, health and metrics.
        fabric: Where packets for callers go.
        fabric_hosts: IP numbers from which the fabric sends callers' packets.
        seeds: Control endpoints of entry VMs to join; its own may stand among them.
        control_replicas: Where rules are fetched.
        secrets_folder: Folder with the key and token files.
        limits: Bounds of its tables.
        placement_policy: How targets are chosen.
        flow_location: How a flow's target is found; see ``location``.
        tls: TLS towards the control replicas, or null.
        log_file: Where events go; null for standard error.
    """

    name: str
    zone: str
    host: str
    data_port: int
    control_port: int
    http_port: int
    fabric: Endpoint
    fabric_hosts: tuple[str, ...]
    seeds: tuple[Endpoint, ...]
    control_replicas: tuple[Endpoint, ...]
    secrets_folder: str
    limits: Limits = Limits()
    placement_policy: str = placement.DEFAULT_POLICY
    flow_location: str = "homes"
    tls: Tls | None = None
    log_file: str | None = None


@attrs.frozen(kw_only=True)
class ReplicaEndpoint:
    """A control replica.

    Attributes:
        name: Its name.
        host: IP number.
        port: TCP port of its gRPC server.
    """

    name: str
    host: str
    port: int


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of ``zinniaspoke control``.

    Attributes:
        name: The replica's name, one of ``replicas``.
        zone: Its availability zone.
        replicas: All replicas of the deployment, this one included.
        data_folder: Folder on the disk for the system's state.
        secrets_folder: Folder with the key and token files.
        tls: TLS on gRPC, or null.
        log_file: Where events go; null for standard error.
    """

    name: str
    zone: str
    replicas: tuple[ReplicaEndpoint, ...]
    data_folder: str
    secrets_folder: str
    tls: Tls | None = None
    log_file: str | None = None

    @property
    def own(self) -> ReplicaEndpoint:
        """This replica's endpoint."""
        return next(replica for replica in self.replicas if replica.name == self.name)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of the operator's commands.

    Attributes:
        entry_vms: HTTP endpoints of the entry VMs.
        control_replicas: gRPC endpoints of the control replicas.
        secrets_folder: Folder with the operator's token files.
        tls: TLS towards the control replicas, or null.
        objectives: What each service promises, for the report.
    """

    entry_vms: tuple[Endpoint, ...]
    control_replicas: tuple[Endpoint, ...]
    secrets_folder: str
    tls: Tls | None = None
    objectives: tuple[burn.Objective, ...] = ()


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)

    @converter.register_structure_hook
    def structure_int(value: object, _: type) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError("not a whole number")
        return value

    @converter.register_structure_hook
    def structure_str(value: object, _: type) -> str:
        if not isinstance(value, str):
            raise ValueError("not a string")
        return value

    return converter


_CONVERTER = _converter()


def _error(path: str, reason: str) -> errors.SettingsError:
    return errors.SettingsError(step="check settings", peer=path, reason=reason)


def _structure(path: str, kind: type[Checked]) -> Checked:
    try:
        body = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise _error(path, error.strerror or str(error)) from error
    except ValueError as error:
        raise _error(path, f"not JSON: {error}") from error
    try:
        return _CONVERTER.structure(body, kind)
    except Exception as error:
        raise _error(path, "; ".join(cattrs.transform_error(error))) from error


def _check_host(path: str, host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise _error(path, f"{host!r} is not an IP number") from None


def _check_port(path: str, port: int) -> None:
    if not 0 < port < 65536:
        raise _error(path, f"{port} is not a port between 1 and 65535")


def _check_endpoint(path: str, host: str, port: int) -> None:
    _check_host(f"{path}.host", host)
    _check_port(f"{path}.port", port)


def _check_positive(path: str, value: int) -> None:
    if value <= 0:
        raise _error(path, f"{value} is not above 0")


def load_entry(path: str) -> EntrySettings:
    """Reads and checks the settings of an entry VM.

    Args:
        path: The JSON file.

    Returns:
        The settings.

    Raises:
        errors.SettingsError: A key is missing, unknown, of a wrong type or out of range, or two
            addresses clash; ``peer`` or ``reason`` names the key's path.
    """
    found = _structure(path, EntrySettings)
    _check_host("$.host", found.host)
    for name in ("data_port", "control_port", "http_port"):
        _check_port(f"$.{name}", getattr(found, name))
    if found.data_port == found.control_port:
        raise _error("$.control_port", f"clashes with data_port {found.data_port}")
    _check_endpoint("$.fabric", found.fabric.host, found.fabric.port)
    if found.fabric.pair == (found.host, found.data_port):
        raise _error("$.fabric", "clashes with the VM's own packet socket")
    for index, host in enumerate(found.fabric_hosts):
        _check_host(f"$.fabric_hosts[{index}]", host)
    if found.host in found.fabric_hosts:
        raise _error("$.fabric_hosts", "holds the VM's own host")
    for index, seed in enumerate(found.seeds):
        _check_endpoint(f"$.seeds[{index}]", seed.host, seed.port)
    for index, replica in enumerate(found.control_replicas):
        _check_endpoint(f"$.control_replicas[{index}]", replica.host, replica.port)
    _check_positive("$.limits.flow_count", found.limits.flow_count)
    _check_positive("$.limits.witness_count", found.limits.witness_count)
    if found.placement_policy not in placement.names():
        known = ", ".join(placement.names())
        raise _error("$.placement_policy", f"{found.placement_policy!r} is not one of {known}")
    location.check(found.flow_location, PACKET_FEATURES)
    return found


def load_control(path: str) -> ControlSettings:
    """Reads and checks the settings of a control VM.

    Args:
        path: The JSON file.

    Returns:
        The settings.

    Raises:
        errors.SettingsError: As ``load_entry``.
    """
    found = _structure(path, ControlSettings)
    if len(found.replicas) not in (3, 5):
        raise _error("$.replicas", f"there are 3 or 5 replicas, not {len(found.replicas)}")
    names = [replica.name for replica in found.replicas]
    pairs = [(replica.host, replica.port) for replica in found.replicas]
    for index, replica in enumerate(found.replicas):
        _check_endpoint(f"$.replicas[{index}]", replica.host, replica.port)
        if not replica.name or "/" in replica.name:
            raise _error(f"$.replicas[{index}].name", "is empty or holds a slash")
        if names.index(replica.name) < index:
            raise _error(f"$.replicas[{index}].name", f"{replica.name!r} stands twice")
        if pairs.index(pairs[index]) < index:
            raise _error(f"$.replicas[{index}]", "clashes with an earlier replica's address")
    if found.name not in names:
        raise _error("$.name", f"{found.name!r} is none of the replicas")
    return found


def load_operator(path: str) -> OperatorSettings:
    """Reads and checks the settings of the operator's commands.

    Args:
        path: The JSON file.

    Returns:
        The settings.

    Raises:
        errors.SettingsError: As ``load_entry``.
    """
    found = _structure(path, OperatorSettings)
    for name in ("entry_vms", "control_replicas"):
        for index, endpoint in enumerate(getattr(found, name)):
            _check_endpoint(f"$.{name}[{index}]", endpoint.host, endpoint.port)
    for index, objective in enumerate(found.objectives):
        _check_objective(f"$.objectives[{index}]", objective)
    return found


def _check_objective(path: str, objective: burn.Objective) -> None:
    for name in ("availability", "first_answer_share", "unbroken_share"):
        if not 0.0 < getattr(objective, name) < 1.0:
            raise _error(f"{path}.{name}", "is not between 0 and 1")
    if objective.first_answer_s not in levels.ANSWER_BOUNDS_S:
        known = ", ".join(f"{bound_s:g}" for bound_s in levels.ANSWER_BOUNDS_S)
        raise _error(f"{path}.first_answer_s", f"is not one of {known}")
