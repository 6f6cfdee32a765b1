"""Numbered events written by eliot as JSON lines."""

import contextlib
import sys

import eliot

from zinniaspoke import errors, events, ports


class EliotLog(ports.LogPort):
    """Writes events with the name of the process that logs them."""

    def __init__(self, *, process: str) -> None:
        """Sets the process's name.

        Args:
            process: Name of the entry VM or control replica.
        """
        self._process = process

    def write(self, event: events.Event, step: str, peer: str, detail: str) -> None:
        """See ``ports.LogPort.write``."""
        eliot.log_message(
            message_type=f"zinniaspoke:{event.name}",
            number=event.number,
            process=self._process,
            step=step,
            peer=peer,
            detail=detail,
        )


def open_destination(path: str | None) -> None:
    """Sends the events of this program to a file or to standard error.

    Args:
        path: The file, or None for standard error.

    Raises:
        errors.SettingsError: The file cannot be written.
    """
    if path is None:
        eliot.to_file(sys.stderr)
        return
    with contextlib.ExitStack() as stack:
        try:
            file = stack.enter_context(open(path, "a", encoding="utf-8"))  # noqa: SIM115
        except OSError as error:
            reason = error.strerror or str(error)
            raise errors.SettingsError(step="open log file", peer=path, reason=reason) from error
        stack.pop_all()
    eliot.to_file(file)
