"""Actions that the core returns for its adapter to perform."""

import attrs

from zinniaspoke import events


@attrs.define(kw_only=True, slots=True)
class SendPacket:
    """Send a datagram from the packet socket.

    Attributes:
        endpoint: IP address and UDP port.
        data: The datagram.
    """

    endpoint: tuple[str, int]
    data: bytes


@attrs.define(kw_only=True, slots=True)
class SendControl:
    """Send a datagram from the control socket.

    Attributes:
        endpoint: IP address and UDP port.
        data: The datagram.
    """

    endpoint: tuple[str, int]
    data: bytes


@attrs.define(kw_only=True, slots=True)
class Log:
    """Log an event.

    Attributes:
        event: The event.
        peer: The VM or target that the event concerns.
        detail: Description for the operator.
    """

    event: events.Event
    peer: str
    detail: str


@attrs.define(kw_only=True, slots=True)
class FetchRules:
    """Request the rule file that a sibling has in force.

    Attributes:
        host: The sibling's IP address.
        port: The sibling's TCP port for announcements.
        number: Number of the rules in force on the sibling.
    """

    host: str
    port: int
    number: int


Action = SendPacket | SendControl | Log | FetchRules
