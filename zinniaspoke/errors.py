"""Errors and reasoned sentinels; each carries the step and the peer."""

import attrs


@attrs.define(kw_only=True, slots=False)
class Error(Exception):
    """Base of all errors of this package.

    Attributes:
        step: What was being done, such as ``"decode packet"``.
        peer: Whom it concerned: a VM, address, file or caller.
        reason: What was wrong.
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.reason}"


class PacketError(Error):
    """A packet that cannot be steered; ``reason`` is the drop counter's name."""


class DatagramError(Error):
    """A control datagram that is not genuine, not fresh or not well formed."""


class SettingsError(Error):
    """Settings that cannot be used; ``peer`` is the path of the key."""


class RuleError(Error):
    """A rule file that cannot be accepted; ``reason`` names every wrong line."""


class ZoneError(Error):
    """An order about a zone that there is not, or whose name is malformed."""


class AnnouncementError(Error):
    """An announcement of a target that cannot be taken."""


class UnreachableError(Error):
    """A VM that does not answer."""


class StorageError(Error):
    """A data folder or file that cannot be used."""


class CorruptionError(StorageError):
    """Stored bytes that do not match their checksum; names file and offset."""


class InvariantError(Error):
    """A promise of the program that did not hold."""


@attrs.frozen(kw_only=True)
class Nothing:
    """A sentinel that stands for a missing value and says why it is missing.

    Attributes:
        reason: Why there is no value, as a counter-friendly word.
    """

    reason: str

    def __bool__(self) -> bool:
        return False
