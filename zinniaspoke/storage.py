"""Files under one data folder: the abstract base, the memory variant and the disk variant."""

import abc
import fcntl
import os
import pathlib
import random

import attrs

from zinniaspoke import errors

MISSING = errors.Nothing(reason="no_such_file")


class Storage(abc.ABC):
    """Named files whose bytes last only once they are synced."""

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
        """Adds bytes at a file's end, creating it where it is missing.

        Args:
            name: The file's name.
            data: The bytes.

        Raises:
            errors.StorageError: The bytes could not be written.
        """

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Cuts a file.

        Args:
            name: The file's name.
            size_bytes: What is left of it.
        """

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Makes a file's bytes last.

        Args:
            name: The file's name.
        """

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file, if it is there.

        Args:
            name: The file's name.
        """

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Puts a synced file in another's place, at once and lastingly.

        Args:
            old: The file's name.
            new: The name that it takes.
        """

    def replace(self, name: str, data: bytes) -> None:
        """Writes a whole file so that either the old or the new bytes are there after a crash.

        Args:
            name: The file's name.
            data: The new bytes.
        """
        draft = f"{name}.draft"
        self.remove(draft)
        self.append(draft, data)
        self.sync(draft)
        self.rename(draft, name)

    def close(self) -> None:
        """Gives the files up."""
        return


class Crash(Exception):
    """Raised by the memory variant where a test asked for a crash."""


@attrs.define(kw_only=True, slots=True)
class _MemoryFile:
    data: bytearray = attrs.field(factory=bytearray)
    durable: bytes = b""


class MemoryStorage(Storage):
    """Files in memory that lose and tear what was not synced when they crash."""

    def __init__(self, *, rng: random.Random) -> None:
        """Starts empty.

        Args:
            rng: Decides how much of an unsynced write survives a crash.
        """
        self._rng = rng
        self._files: dict[str, _MemoryFile] = {}
        self._names: dict[str, _MemoryFile] = {}
        self.operation_count = 0
        self.crash_at: int | None = None

    def _step(self) -> None:
        self.operation_count += 1
        if self.crash_at is not None and self.operation_count >= self.crash_at:
            raise Crash

    def crash(self) -> None:
        """Loses what was not synced; a torn part of an append may be left."""
        self.crash_at = None
        survivors: dict[str, _MemoryFile] = {}
        for name, file in self._names.items():
            kept = file.durable
            if file.data.startswith(kept) and len(file.data) > len(kept):
                size_bytes = self._rng.randint(len(kept), len(file.data))
                kept = bytes(file.data[:size_bytes])
            survivors[name] = _MemoryFile(data=bytearray(kept), durable=kept)
        self._files = survivors
        self._names = dict(survivors)

    def wipe(self) -> None:
        """Loses everything, as a replaced disk does."""
        self._files = {}
        self._names = {}

    def read(self, name: str) -> bytes | errors.Nothing:
        """See ``Storage.read``."""
        file = self._files.get(name)
        return bytes(file.data) if file is not None else MISSING

    def append(self, name: str, data: bytes) -> None:
        """See ``Storage.append``."""
        self._step()
        file = self._files.setdefault(name, _MemoryFile())
        self._names.setdefault(name, file)
        file.data.extend(data)
        self._step()

    def truncate(self, name: str, size_bytes: int) -> None:
        """See ``Storage.truncate``."""
        self._step()
        del self._files[name].data[size_bytes:]
        self._step()

    def sync(self, name: str) -> None:
        """See ``Storage.sync``."""
        self._step()
        file = self._files[name]
        file.durable = bytes(file.data)
        self._step()

    def remove(self, name: str) -> None:
        """See ``Storage.remove``."""
        self._files.pop(name, None)
        self._names.pop(name, None)

    def rename(self, old: str, new: str) -> None:
        """See ``Storage.rename``."""
        self._step()
        file = self._files.pop(old)
        self._files[new] = file
        self._names.pop(old, None)
        self._names[new] = file
        self._step()

    def corrupt(self, name: str, offset: int) -> None:
        """Flips a byte of a file.

        Args:
            name: The file's name.
            offset: Which byte.
        """
        file = self._files[name]
        file.data[offset] ^= 0xFF
        file.durable = bytes(file.data)


class DiskStorage(Storage):
    """Files in a folder of a disk, held by one process at a time."""

    LOCK_NAME = "lock"

    def __init__(self, *, folder: str) -> None:
        """Opens the folder, creating it where it is missing.

        Args:
            folder: Path of the data folder.

        Raises:
            errors.StorageError: The folder cannot be written, or another process holds it.
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
