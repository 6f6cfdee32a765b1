"""Port to the form of packets on a platform."""

import abc

from zinniaspoke import errors, location, roster, steering


class PacketCodec(abc.ABC):
    """The form of packets on the platform.

    Attributes:
        PACKET_FEATURES: What it offers to find flows by.
    """

    PACKET_FEATURES: location.PacketFeatures

    @abc.abstractmethod
    def decode(self, data: bytes) -> steering.Packet | errors.Nothing:
        """Reads what steering needs.

        Args:
            data: A datagram from the fabric.

        Returns:
            The packet, or the reason why it is none.
        """

    @abc.abstractmethod
    def to_target(self, data: bytes, target: roster.Target, kind: steering.Kind) -> bytes:
        """Builds the datagram for a target.

        Args:
            data: The datagram from the fabric.
            target: Where it goes.
            kind: What the packet does.
        """

    @abc.abstractmethod
    def describe(self, data: bytes) -> str:
        """Names a packet's flow for the log: CALLER:PORT>ROUTE:PORT.

        Args:
            data: The datagram from the fabric.
        """

    @abc.abstractmethod
    def opening(self, caller: tuple[str, int], service: tuple[str, int]) -> steering.Packet:
        """Builds the opening of a flow as ``decode`` would read it, without its bytes.

        Args:
            caller: IP number and port of the caller.
            service: IP number and port of the service address.
        """

    @abc.abstractmethod
    def reset(self, packet: steering.Packet) -> tuple[str, bytes]:
        """Builds the answer that refuses an opening or ends an open flow.

        Args:
            packet: The caller's packet.

        Returns:
            The caller's IP number and the datagram.
        """
