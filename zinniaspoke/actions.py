"""What the core asks its adapters to do."""

import attrs

from zinniaspoke import events


@attrs.define(kw_only=True, slots=True)
class SendPacket:
    """Send a datagram from the packet socket.

    Attributes:
        endpoint: IP number and UDP port.
        data: The datagram.
    """

    endpoint: tuple[str, int]
    data: bytes


@attrs.define(kw_only=True, slots=True)
class SendControl:
    """Send a datagram from the control socket.

    Attributes:
        endpoint: IP number and UDP port.
        data: The datagram.
    """

    endpoint: tuple[str, int]
    data: bytes


@attrs.define(kw_only=True, slots=True)
class Log:
    """Log a numbered event.

    Attributes:
        event: Which event.
        peer: Whom it concerns.
        detail: What happened, in words.
    """

    event: events.Event
    peer: str
    detail: str


@attrs.define(kw_only=True, slots=True)
class FetchRules:
    """Ask a sibling for a rule file that it has in force.

    Attributes:
        host: The sibling's IP number.
        port: The sibling's TCP port for announcements.
        number: The number that it has.
    """

    host: str
    port: int
    number: int


Action = SendPacket | SendControl | Log | FetchRules
