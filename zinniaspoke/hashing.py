"""Rendezvous hashing (Thaler and Ravishankar, 1998) with xxhash.

Each node's 32-bit id is the seed under which keys are hashed.
"""

import functools
from collections.abc import Sequence

import xxhash

SLOT_COUNT = 4096


def short_hash(data: bytes) -> int:
    """Hashes bytes to 32 bits.

    Args:
        data: Any bytes.

    Returns:
        An unsigned 32-bit integer that is never 0, so that 0 can mean "none".
    """
    return xxhash.xxh3_64_intdigest(data) & 0xFFFFFFFF or 1


def weight(key: bytes, node_id: int) -> int:
    """Returns the rendezvous weight of a key on one node.

    Args:
        key: The key.
        node_id: The node's id.

    Returns:
        An unsigned 64-bit weight; the node with the highest weight owns the key.
    """
    return xxhash.xxh3_64_intdigest(key, node_id)


def rendezvous_first(key: bytes, node_ids: Sequence[int]) -> int:
    """Returns the node that is first in rendezvous order.

    Args:
        key: The key.
        node_ids: The nodes' ids; at least one.

    Returns:
        The id with the highest weight. Ties go to the higher id.
    """
    return max(node_ids, key=lambda node_id: (xxhash.xxh3_64_intdigest(key, node_id), node_id))


def rendezvous_order(key: bytes, node_ids: Sequence[int]) -> list[int]:
    """Returns all nodes in rendezvous order.

    Args:
        key: The key.
        node_ids: The nodes' ids.

    Returns:
        The ids by descending weight.
    """
    return sorted(
        node_ids,
        key=lambda node_id: (xxhash.xxh3_64_intdigest(key, node_id), node_id),
        reverse=True,
    )


@functools.lru_cache(maxsize=512)
def _slot_weights(node_id: int) -> tuple[int, ...]:
    """Returns one node's weights for all slots; cached, as they never change."""
    return tuple(weight(slot.to_bytes(2, "big"), node_id) for slot in range(SLOT_COUNT))


def slot_of(key: bytes) -> int:
    """Returns the slot of a key.

    Args:
        key: The key.
    """
    return xxhash.xxh3_64_intdigest(key) & (SLOT_COUNT - 1)


class SlotTable:
    """Precomputed rendezvous hashing: a lookup costs one hash and one list access.

    Every slot belongs to the first node in rendezvous order of the slot's number, so removing
    a node reassigns only its own slots.
    """

    def __init__(self, *, node_ids: Sequence[int]) -> None:
        """Builds the table.

        Args:
            node_ids: The nodes' ids; at least one.
        """
        weights_by_slot = zip(*(_slot_weights(node_id) for node_id in node_ids), strict=True)
        self._node_by_slot = [node_ids[weights.index(max(weights))] for weights in weights_by_slot]

    def lookup(self, key: bytes) -> int:
        """Returns the node that owns a key.

        Args:
            key: The key.

        Returns:
            The id of the node that owns the key's slot.
        """
        return self._node_by_slot[xxhash.xxh3_64_intdigest(key) & (SLOT_COUNT - 1)]

    @staticmethod
    def order(key: bytes, node_ids: Sequence[int]) -> list[int]:
        """Returns the nodes in the order in which they take over a key.

        Args:
            key: The key.
            node_ids: The nodes' ids.

        Returns:
            All ids; the first is what ``lookup`` returns in a table of the same nodes.
        """
        slot = slot_of(key)
        return sorted(node_ids, key=lambda node_id: _slot_weights(node_id)[slot], reverse=True)
