"""Announcements by which targets register and renew their leases: parsing, checks and tokens."""

import hmac
import ipaddress

import attrs
import cattrs

from zinniaspoke import errors, geneve, targets

STATES = ("ready", "draining")
LEASE_LIMIT_S = 60.0


@attrs.frozen(kw_only=True)
class Announcement:
    """A target's announcement of itself, as sent in JSON.

    Attributes:
        address: IP address of the target.
        port: Port that the service listens on.
        service: Name of the service.
        incarnation: Increases with every new process at the address.
        sequence: Increases with every announcement of the process.
        state: ``"ready"`` or ``"draining"``.
        slot_count: Requests that it runs concurrently.
        connection_limit: Maximum number of connections.
        zone: Its availability zone.
        lease_s: Duration of the lease that this announcement renews.
        geneve_port: UDP port at which the target's kernel decapsulates packets.
        health_address: Address of its health check, or empty.
    """

    address: str
    port: int
    service: str
    incarnation: int
    sequence: int
    state: str
    slot_count: int = 2
    connection_limit: int = 2000
    zone: str = ""
    lease_s: float = targets.DEFAULT_LEASE_S
    geneve_port: int = geneve.PORT
    health_address: str = ""

    def to_state(self, now_s: float) -> targets.TargetState:
        """Validates the values and converts them to a target's state.

        Args:
            now_s: Current time.

        Returns:
            The target's state, with its lease renewed now.

        Raises:
            errors.AnnouncementError: A value is out of range.
        """
        try:
            address = ipaddress.ip_address(self.address).packed
        except ValueError:
            raise _error(self.address, "address is not an IP number") from None
        self._check_ranges()
        target = targets.Target(
            address=address,
            port=self.port,
            service=self.service,
            incarnation=self.incarnation,
            geneve_port=self.geneve_port,
            slot_count=self.slot_count,
            connection_limit=self.connection_limit,
            zone=self.zone,
            health_address=self.health_address,
        )
        return targets.TargetState(
            target=target,
            version=self.sequence,
            is_draining=self.state == "draining",
            renewed_s=now_s,
            lease_s=self.lease_s,
        )

    def _check_ranges(self) -> None:
        peer = self.address
        if self.state not in STATES:
            raise _error(peer, f"state is one of {', '.join(STATES)}, not {self.state!r}")
        for name in ("port", "geneve_port"):
            if not 0 < getattr(self, name) < 65536:
                raise _error(peer, f"{name} is not between 1 and 65535")
        for name in ("slot_count", "connection_limit"):
            if not 0 < getattr(self, name) < 1 << 20:
                raise _error(peer, f"{name} is not between 1 and {(1 << 20) - 1}")
        if not 0 <= self.sequence < 1 << 32 or not 0 <= self.incarnation < 1 << 63:
            raise _error(peer, "sequence is not in 0..2**32-1 or incarnation is not in 0..2**63-1")
        if not 0 < self.lease_s <= LEASE_LIMIT_S:
            raise _error(peer, f"lease_s is not above 0 and at most {LEASE_LIMIT_S}")


def _error(peer: str, reason: str) -> errors.AnnouncementError:
    return errors.AnnouncementError(step="take announcement", peer=peer, reason=reason)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@_CONVERTER.register_structure_hook
def _structure_int(value: object, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value


@_CONVERTER.register_structure_hook
def _structure_str(value: object, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def parse(body: object, peer: str) -> Announcement:
    """Parses an announcement from decoded JSON.

    Args:
        body: The decoded JSON.
        peer: Address of the sender, for the error.

    Returns:
        The announcement; ``Announcement.to_state`` checks the ranges of its values.

    Raises:
        errors.AnnouncementError: Keys are missing, unknown or of the wrong type.
    """
    try:
        return _CONVERTER.structure(body, Announcement)
    except Exception as error:
        reason = "; ".join(cattrs.transform_error(error))
        raise _error(peer, reason) from error


class Tokens:
    """Bearer tokens that authorize targets to announce a service."""

    def __init__(self, *, by_service: dict[str, str]) -> None:
        """Keeps the tokens.

        Args:
            by_service: Tokens by service name.
        """
        self._by_service = by_service

    def check(self, service: str, token: str, peer: str) -> None:
        """Checks the token of an announcement.

        Args:
            service: The announced service.
            token: The token sent with it; empty if none was sent.
            peer: Address of the sender, for the error.

        Raises:
            errors.AnnouncementError: The token is missing or wrong, or none is configured for the
                service.
        """
        expected = self._by_service.get(service)
        if expected is None:
            raise _error(peer, f"no token is set for service {service!r}")
        if not token:
            raise _error(peer, "no token")
        if not hmac.compare_digest(expected.encode(), token.encode()):
            raise _error(peer, "wrong token")
