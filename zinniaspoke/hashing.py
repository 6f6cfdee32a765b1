"""Rendezvous hashing over xxhash (Thaler and Ravishankar, 1998)."""

from collections.abc import Sequence
from typing import TypeVar

import xxhash

Choice = TypeVar("Choice")


def short_hash(data: bytes) -> int:
    """Hashes bytes to 32 bits.

    Args:
        data: Any bytes.

    Returns:
        An unsigned 32-bit number that is never 0, so that 0 can mean "none".
    """
    return xxhash.xxh3_64_intdigest(data) & 0xFFFFFFFF or 1


def weight(key: bytes, seed: int) -> int:
    """Gives the rendezvous weight of a key for one choice.

    Args:
        key: What is placed.
        seed: The choice's 32-bit number.

    Returns:
        An unsigned 64-bit weight; the highest wins.
    """
    return xxhash.xxh3_64_intdigest(key, seed)


def first(key: bytes, seeds: Sequence[int]) -> int:
    """Returns the seed that is first in rendezvous order.

    Args:
        key: What is placed.
        seeds: The choices' numbers; at least one.

    Returns:
        The winning seed. Ties go to the higher number.
    """
    return max(seeds, key=lambda seed: (xxhash.xxh3_64_intdigest(key, seed), seed))


def order(key: bytes, seeds: Sequence[int]) -> list[int]:
    """Returns all seeds in rendezvous order, the winner first.

    Args:
        key: What is placed.
        seeds: The choices' numbers.

    Returns:
        The seeds sorted by falling weight.
    """
    return sorted(seeds, key=lambda seed: (xxhash.xxh3_64_intdigest(key, seed), seed), reverse=True)


class SlotTable:
    """Looks up the first choice of a key with one hash and one index.

    Every slot is given to the first choice in rendezvous order of the slot's number, so a choice
    that leaves moves only its own slots.
    """

    SLOT_COUNT = 4096

    def __init__(self, *, seeds: Sequence[int]) -> None:
        """Builds the table.

        Args:
            seeds: The choices' numbers; at least one.
        """
        self._slots = [first(slot.to_bytes(2, "big"), seeds) for slot in range(self.SLOT_COUNT)]

    def lookup(self, key: bytes) -> int:
        """Returns the choice for a key.

        Args:
            key: What is placed.

        Returns:
            The seed that holds the key's slot.
        """
        return self._slots[xxhash.xxh3_64_intdigest(key) & (self.SLOT_COUNT - 1)]

    @classmethod
    def order(cls, key: bytes, seeds: Sequence[int]) -> list[int]:
        """Returns the choices in the order in which they take over a key.

        Args:
            key: What is placed.
            seeds: The choices' numbers.

        Returns:
            All seeds; the first is what ``lookup`` returns over the same seeds.
        """
        slot = xxhash.xxh3_64_intdigest(key) & (cls.SLOT_COUNT - 1)
        return order(slot.to_bytes(2, "big"), seeds)
