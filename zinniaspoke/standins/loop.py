"""A loop on virtual time with the two calls of asyncio's loop that the stand-ins use."""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol


class Loop(Protocol):
    """What the stand-ins need of a loop; asyncio's has it too."""

    def time(self) -> float:
        """Returns the time in seconds."""

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> object:
        """Calls back after a delay in seconds."""


class VirtualLoop:
    """Runs callbacks in the order of their virtual times, without waiting."""

    def __init__(self) -> None:
        """Starts at time 0."""
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []

    def time(self) -> float:
        """See ``Loop.time``."""
        return self._now_s

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        """See ``Loop.call_later``."""
        item = (self._now_s + max(0.0, delay_s), next(self._numbers), callback, args)
        heapq.heappush(self._heap, item)

    def run_until(self, end_s: float) -> None:
        """Runs all callbacks up to a time.

        Args:
            end_s: Virtual time at which to return.
        """
        while self._heap and self._heap[0][0] <= end_s:
            self._now_s, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self._now_s = end_s
