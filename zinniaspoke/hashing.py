"""Rendezvous hashing over xxhash (Thaler and Ravishankar, 1998)."""

import functools
from collections.abc import Sequence

import xxhash

SLOT_COUNT = 4096


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


def rendezvous_first(key: bytes, seeds: Sequence[int]) -> int:
    """Returns the seed that is first in rendezvous order.

    Args:
        key: What is placed.
        seeds: The choices' numbers; at least one.

    Returns:
        The winning seed. Ties go to the higher number.
    """
    return max(seeds, key=lambda seed: (xxhash.xxh3_64_intdigest(key, seed), seed))


def rendezvous_order(key: bytes, seeds: Sequence[int]) -> list[int]:
    """Returns all seeds in rendezvous order, the winner first.

    Args:
        key: What is placed.
        seeds: The choices' numbers.

    Returns:
        The seeds sorted by falling weight.
    """
    return sorted(seeds, key=lambda seed: (xxhash.xxh3_64_intdigest(key, seed), seed), reverse=True)


@functools.lru_cache(maxsize=512)
def _slot_weights(seed: int) -> tuple[int, ...]:
    """Weights of one choice for every slot; computed once for each choice."""
    return tuple(weight(slot.to_bytes(2, "big"), seed) for slot in range(SLOT_COUNT))


def slot_of(key: bytes) -> int:
    """Returns the slot of a key.

    Args:
        key: What is placed.
    """
    return xxhash.xxh3_64_intdigest(key) & (SLOT_COUNT - 1)


class SlotTable:
    """Looks up the first choice of a key with one hash and one index.

    Every slot is given to the first choice in rendezvous order of the slot's number, so a choice
    that leaves moves only its own slots.
    """

    def __init__(self, *, seeds: Sequence[int]) -> None:
        """Builds the table.

        Args:
            seeds: The choices' numbers; at least one.
        """
        rows = zip(*(_slot_weights(seed) for seed in seeds), strict=True)
        self._slots = [seeds[row.index(max(row))] for row in rows]

    def lookup(self, key: bytes) -> int:
        """Returns the choice for a key.

        Args:
            key: What is placed.

        Returns:
            The seed that holds the key's slot.
        """
        return self._slots[xxhash.xxh3_64_intdigest(key) & (SLOT_COUNT - 1)]

    @staticmethod
    def order(key: bytes, seeds: Sequence[int]) -> list[int]:
        """Returns the choices in the order in which they take over a key.

        Args:
            key: What is placed.
            seeds: The choices' numbers.

        Returns:
            All seeds; the first is what ``lookup`` returns over the same seeds.
        """
        slot = slot_of(key)
        return sorted(seeds, key=lambda seed: _slot_weights(seed)[slot], reverse=True)
