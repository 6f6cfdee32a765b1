"""Counters that the core raises and the adapters export."""

import collections

import attrs


@attrs.define(kw_only=True, slots=True)
class Counters:
    """Counts of one process.

    Attributes:
        drops: Packets and datagrams dropped, by reason.
        events: Things that happened, by name.
        data_bytes_sent: Bytes of packets sent to targets and the fabric.
        forwarded_bytes_sent: Bytes of packets passed on to siblings.
        control_bytes_sent: Bytes of control datagrams sent.
    """

    drops: collections.Counter[str] = attrs.field(factory=collections.Counter)
    events: collections.Counter[str] = attrs.field(factory=collections.Counter)
    data_bytes_sent: int = 0
    forwarded_bytes_sent: int = 0
    control_bytes_sent: int = 0
