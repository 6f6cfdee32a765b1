"""Storage of named files in a data folder: interface, in-memory fake for tests, and disk."""

import abc
import fcntl
import os
import pathlib
import random

import attrs

from zinniaspoke import errors

MISSING = errors.Nothing(reason="no_such_file")


class Storage(abc.ABC):
    """Named files whose contents are durable only after a sync."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes | errors.Nothing:
        """Reads a whole file.

        Args:
            name: The file's name.

        Returns:
            Its bytes, or ``MISSING``.
        """

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file, creating it if it is missing.

        Args:
            name: The file's name.
            data: The bytes.

        Raises:
            errors.StorageError: The bytes could not be written.
        """

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file.

        Args:
            name: The file's name.
            size_bytes: Its new size.
        """

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Makes a file's contents durable.

        Args:
            name: The file's name.
        """

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file if it exists.

        Args:
            name: The file's name.
        """

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Renames a synced file atomically and durably, replacing any file of the new name.

        Args:
            old: The file's current name.
            new: Its new name.
        """

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically: after a crash it has either the old or the new contents.

        Args:
            name: The file's name.
            data: The new contents.
        """
        temporary = f"{name}.draft"
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.rename(temporary, name)

    def close(self) -> None:
        """Releases the files; the default implementation has nothing to release."""
        return


class SimulatedCrash(Exception):
    """Raised by ``MemoryStorage`` at the operation at which a test has scheduled a crash."""


@attrs.define(kw_only=True, slots=True)
class _MemoryFile:
    data: bytearray = attrs.field(factory=bytearray)
    durable: bytes = b""


class MemoryStorage(Storage):
    """In-memory fake of a disk, for tests.

    A crash discards unsynced data or leaves a torn part of it.

    Attributes:
        operation_count: Counts each append, truncation, sync and rename twice, before and after
            it takes effect.
        crash_at: Value of ``operation_count`` from which on operations raise
            ``SimulatedCrash``, or None.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Starts with no files.

        Args:
            rng: Seeded random source that decides how much of an unsynced append survives a crash.
        """
        self._rng = rng
        self._files: dict[str, _MemoryFile] = {}
        self._durable_names: dict[str, _MemoryFile] = {}
        self.operation_count = 0
        self.crash_at: int | None = None

    def _count_operation(self) -> None:
        self.operation_count += 1
        if self.crash_at is not None and self.operation_count >= self.crash_at:
            raise SimulatedCrash

    def crash(self) -> None:
        """Discards unsynced data, except for a random part of an unsynced append."""
        self.crash_at = None
        remaining: dict[str, _MemoryFile] = {}
        for name, file in self._durable_names.items():
            kept = file.durable
            if file.data.startswith(kept) and len(file.data) > len(kept):
                size_bytes = self._rng.randint(len(kept), len(file.data))
                kept = bytes(file.data[:size_bytes])
            remaining[name] = _MemoryFile(data=bytearray(kept), durable=kept)
        self._files = remaining
        self._durable_names = dict(remaining)

    def wipe(self) -> None:
        """Removes all files, as if the disk had been replaced."""
        self._files = {}
        self._durable_names = {}

    def read(self, name: str) -> bytes | errors.Nothing:
        """See ``Storage.read``."""
        file = self._files.get(name)
        return bytes(file.data) if file is not None else MISSING

    def append(self, name: str, data: bytes) -> None:
        """See ``Storage.append``."""
        self._count_operation()
        file = self._files.setdefault(name, _MemoryFile())
        self._durable_names.setdefault(name, file)
        file.data.extend(data)
        self._count_operation()

    def truncate(self, name: str, size_bytes: int) -> None:
        """See ``Storage.truncate``."""
        self._count_operation()
        del self._files[name].data[size_bytes:]
        self._count_operation()

    def sync(self, name: str) -> None:
        """See ``Storage.sync``."""
        self._count_operation()
        file = self._files[name]
        file.durable = bytes(file.data)
        self._count_operation()

    def remove(self, name: str) -> None:
        """See ``Storage.remove``."""
        self._files.pop(name, None)
        self._durable_names.pop(name, None)

    def rename(self, old: str, new: str) -> None:
        """See ``Storage.rename``."""
        self._count_operation()
        file = self._files.pop(old)
        self._files[new] = file
        self._durable_names.pop(old, None)
        self._durable_names[new] = file
        self._count_operation()

    def corrupt(self, name: str, offset: int) -> None:
        """Inverts the bits of one byte of a file, durably.

        Args:
            name: The file's name.
            offset: Offset of the byte.
        """
        file = self._files[name]
        file.data[offset] ^= 0xFF
        file.durable = bytes(file.data)


class DiskStorage(Storage):
    """Files in a folder on disk, locked so that only one process uses it at a time."""

    LOCK_NAME = "lock"

    def __init__(self, *, folder: str) -> None:
        """Opens and locks the folder, creating it if it is missing.

        Args:
            folder: Path of the data folder.

        Raises:
            errors.StorageError: The folder cannot be written, or another process has locked it.
        """
        self._folder = pathlib.Path(folder)
        self._handles: dict[str, int] = {}
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self._folder / self.LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise self._error("open data folder", error) from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise self._error("lock data folder", error) from error

    def _error(self, step: str, error: OSError) -> errors.StorageError:
        reason = error.strerror or str(error)
        return errors.StorageError(step=step, peer=str(self._folder), reason=reason)

    def read(self, name: str) -> bytes | errors.Nothing:
        """See ``Storage.read``."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return MISSING
        except OSError as error:
            raise self._error(f"read {name}", error) from error

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            handle = self._handles[name] = os.open(self._folder / name, flags, 0o600)
        return handle

    def append(self, name: str, data: bytes) -> None:
        """See ``Storage.append``."""
        try:
            handle = self._handle(name)
            while data:
                data = data[os.write(handle, data) :]
        except OSError as error:
            raise self._error(f"append to {name}", error) from error

    def truncate(self, name: str, size_bytes: int) -> None:
        """See ``Storage.truncate``."""
        try:
            os.ftruncate(self._handle(name), size_bytes)
        except OSError as error:
            raise self._error(f"truncate {name}", error) from error

    def sync(self, name: str) -> None:
        """See ``Storage.sync``."""
        try:
            os.fsync(self._handle(name))
        except OSError as error:
            raise self._error(f"sync {name}", error) from error

    def _drop_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def remove(self, name: str) -> None:
        """See ``Storage.remove``."""
        self._drop_handle(name)
        try:
            (self._folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise self._error(f"remove {name}", error) from error

    def rename(self, old: str, new: str) -> None:
        """See ``Storage.rename``."""
        self._drop_handle(old)
        self._drop_handle(new)
        try:
            os.rename(self._folder / old, self._folder / new)
            folder = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            raise self._error(f"rename {old}", error) from error

    def close(self) -> None:
        """See ``Storage.close``."""
        for name in list(self._handles):
            self._drop_handle(name)
        os.close(self._lock)
