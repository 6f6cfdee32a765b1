"""Outbox that collects the actions of one call of the core and counts the bytes sent."""

from zinniaspoke import (
    actions,
    counters,
    datagrams,
    events,
    geneve,
    membership,
    targets,
)
from zinniaspoke.proto import peer_pb2


class Outbox:
    """Collects actions, which the core returns to its adapter at the end of each call."""

    def __init__(
        self,
        *,
        members: membership.Membership,
        target_table: targets.TargetTable,
        authenticator: datagrams.Authenticator,
        fabric: tuple[str, int],
        counts: counters.Counters,
    ) -> None:
        """Creates an empty outbox.

        Args:
            members: The group, for the endpoints of siblings.
            target_table: The targets, for the check that a target still owns its address. One
                that may have been replaced there gets no more packets.
            authenticator: Signs control datagrams; its first key also signs steered packets.
            fabric: Endpoint to which packets for callers are sent.
            counts: Counters to increment.
        """
        self._members = members
        self._table = target_table
        self._authenticator = authenticator
        self._fabric = fabric
        self._counts = counts
        self._actions: list[actions.Action] = []
        self._now_s = 0.0

    def start_call(self, now_s: float) -> None:
        """Sets the current time at the start of a call of the core.

        Args:
            now_s: Current time.
        """
        self._now_s = now_s

    def take_actions(self) -> list[actions.Action]:
        """Returns the collected actions and empties the outbox."""
        taken, self._actions = self._actions, []
        return taken

    def send_to_target(self, target: targets.Target, inner: bytes) -> None:
        """Sends a caller's packet to a target.

        The packet is dropped if another target may have taken over the target's address.

        Args:
            target: The receiving target.
            inner: The IP packet.
        """
        if not self._table.owns_address(target, self._now_s):
            self._counts.drops["target_not_vouched"] += 1
            return
        data = geneve.encapsulate(inner)
        self._counts.data_bytes_sent += len(data)
        self._actions.append(actions.SendPacket(endpoint=target.endpoint, data=data))

    def send_to_fabric(self, inner: bytes) -> None:
        """Sends a packet to a caller through the fabric.

        Args:
            inner: The IP packet.
        """
        data = geneve.encapsulate(inner)
        self._counts.data_bytes_sent += len(data)
        self._actions.append(actions.SendPacket(endpoint=self._fabric, data=data))

    def send_to_sibling(self, member_id: int, inner: bytes, steering: geneve.Steering) -> None:
        """Forwards a packet to a sibling entry VM.

        Args:
            member_id: The sibling's id.
            inner: The IP packet.
            steering: What the sibling is asked to do; the sender is filled in.
        """
        member = self._members.members.get(member_id)
        if member is None:
            self._counts.drops["unknown_member"] += 1
            return
        steering.sender_id = self._members.own.id
        data = geneve.encapsulate_steered(inner, steering, self._authenticator.keys[0])
        self._counts.forwarded_bytes_sent += len(data)
        self._actions.append(actions.SendPacket(endpoint=member.data_endpoint, data=data))

    def send_control(self, member_id: int, body: peer_pb2.Datagram) -> int:
        """Sends a control datagram to a member.

        Args:
            member_id: The member's id.
            body: The unsigned body.

        Returns:
            Size of the signed datagram in bytes, or 0 for an unknown member.
        """
        member = self._members.members.get(member_id)
        if member is None:
            return 0
        return self.send_control_to(member.control_endpoint, body)

    def send_control_to(self, endpoint: tuple[str, int], body: peer_pb2.Datagram) -> int:
        """Sends a control datagram to an endpoint, such as a seed that is not a member yet.

        Args:
            endpoint: IP address and UDP port.
            body: The unsigned body.

        Returns:
            Size of the signed datagram in bytes.
        """
        data = self._authenticator.sign(body)
        self._counts.control_bytes_sent += len(data)
        self._actions.append(actions.SendControl(endpoint=endpoint, data=data))
        return len(data)

    def fetch_rules(self, member: membership.Member, number: int) -> None:
        """Requests a rule file from a sibling.

        Args:
            member: The sibling.
            number: Number of the rules that it has in force.
        """
        self._actions.append(
            actions.FetchRules(host=member.host, port=member.http_port, number=number)
        )

    def log(self, event: events.Event, peer: str, detail: str) -> None:
        """Logs an event and counts it.

        Args:
            event: The event.
            peer: The VM or target that the event concerns.
            detail: Description for the operator.
        """
        self._counts.events[event.name] += 1
        self._actions.append(actions.Log(event=event, peer=peer, detail=detail))
