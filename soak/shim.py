"""Storage that misbehaves, at the product's own storage port."""

import json
import os
import random
import time

from zinniaspoke import errors, storage


class FaultyStorage(storage.DiskStorage):
    """A disk that loses what was not synced when its process is killed.

    The file named by ``SOAK_DISK`` says how it misbehaves: ``slow_s`` per sync, ``full``. In the
    torn form a part of each unsynced append reaches the file at once.
    """

    def __init__(self, *, folder: str) -> None:
        """Opens the folder."""
        super().__init__(folder=folder)
        self._orders = os.environ["SOAK_DISK"]
        self._is_torn = os.environ.get("SOAK_TORN") == "1"
        self._rng = random.Random(os.environ.get("SOAK_SEED", ""))
        self._held: dict[str, bytes] = {}

    def _order(self, name: str) -> float:
        try:
            with open(self._orders, encoding="utf-8") as file:
                return float(json.load(file).get(name, 0))
        except (OSError, ValueError):
            return 0.0

    def read(self, name: str) -> bytes | errors.Nothing:
        """See ``Storage.read``."""
        found, held = super().read(name), self._held.get(name)
        if held is None:
            return found
        return held if isinstance(found, errors.Nothing) else found + held

    def append(self, name: str, data: bytes) -> None:
        """See ``Storage.append``."""
        if self._order("full"):
            raise errors.StorageError(step=f"append to {name}", peer="soak", reason="disk is full")
        held = self._held.get(name, b"") + data
        if self._is_torn:
            size = self._rng.randrange(len(held) + 1)
            super().append(name, held[:size])
            held = held[size:]
        self._held[name] = held

    def _flush(self, name: str) -> None:
        held = self._held.pop(name, b"")
        super().append(name, held)

    def truncate(self, name: str, size_bytes: int) -> None:
        """See ``Storage.truncate``."""
        self._flush(name)
        super().truncate(name, size_bytes)

    def sync(self, name: str) -> None:
        """See ``Storage.sync``."""
        time.sleep(self._order("slow_s"))
        self._flush(name)
        super().sync(name)

    def remove(self, name: str) -> None:
        """See ``Storage.remove``."""
        self._held.pop(name, None)
        super().remove(name)

    def rename(self, old: str, new: str) -> None:
        """See ``Storage.rename``."""
        self._flush(old)
        self._held.pop(new, None)
        super().rename(old, new)
