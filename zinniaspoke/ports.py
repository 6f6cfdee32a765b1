"""The abstract interfaces that adapters implement for the daemons."""

from __future__ import annotations

import abc
import typing

from zinniaspoke import events

if typing.TYPE_CHECKING:
    # The entry program does not load protobuf.
    from zinniaspoke.proto import control_pb2


class DatagramPort(abc.ABC):
    """Sends datagrams from one socket."""

    @abc.abstractmethod
    def send(self, endpoint: tuple[str, int], data: bytes) -> None:
        """Sends a datagram; a full socket buffer drops it.

        Args:
            endpoint: IP number and UDP port.
            data: The datagram.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the socket."""


class LogPort(abc.ABC):
    """Takes numbered events."""

    @abc.abstractmethod
    def write(self, event: events.Event, step: str, peer: str, detail: str) -> None:
        """Logs an event.

        Args:
            event: Which event.
            step: What was being done.
            peer: Whom it concerns.
            detail: What happened, in words.
        """


class ControlPort(abc.ABC):
    """Reaches the control replicas."""

    @abc.abstractmethod
    async def newer_rules(self, have_number: int) -> control_pb2.RulesReply:
        """Asks a replica for a newer committed rule file.

        Args:
            have_number: The number in force here.

        Returns:
            The reply; its rule file is empty where there is nothing newer.

        Raises:
            errors.Error: No replica answered.
        """

    @abc.abstractmethod
    async def submit(self, number: int, content: bytes) -> control_pb2.SubmitReply:
        """Submits a rule file.

        Args:
            number: Its number.
            content: Its bytes.

        Returns:
            The answer; unknown where none came.
        """
