"""The outbox: collects the actions of one core call and counts what they send."""

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
    """Collects typed actions; the core hands them to its adapter after each call."""

    def __init__(
        self,
        *,
        members: membership.Membership,
        target_table: targets.TargetTable,
        authenticator: datagrams.Authenticator,
        fabric: tuple[str, int],
        counts: counters.Counters,
    ) -> None:
        """Sets where packets go.

        Args:
            members: Endpoints of the siblings.
            target_table: The targets; one that may have been replaced gets no more packets.
            authenticator: Signs control datagrams; its first key signs steered packets too.
            fabric: Where packets for callers go.
            counts: Counters to raise.
        """
        self._members = members
        self._table = target_table
        self._authenticator = authenticator
        self._fabric = fabric
        self._counts = counts
        self._actions: list[actions.Action] = []
        self._now_s = 0.0

    def start_call(self, now_s: float) -> None:
        """Sets the time of the core call that follows.

        Args:
            now_s: Current time.
        """
        self._now_s = now_s

    def take_actions(self) -> list[actions.Action]:
        """Returns the collected actions and starts anew."""
        taken, self._actions = self._actions, []
        return taken

    def send_to_target(self, target: targets.Target, inner: bytes) -> None:
        """Sends a caller's packet to a target.

        Args:
            target: Where to.
            inner: The IP packet.
        """
        if not self._table.owns_address(target, self._now_s):
            self._counts.drops["target_not_vouched"] += 1
            return
        data = geneve.encapsulate(inner)
        self._counts.data_bytes_sent += len(data)
        self._actions.append(actions.SendPacket(endpoint=target.endpoint, data=data))

    def send_to_fabric(self, inner: bytes) -> None:
        """Sends a packet to a caller by way of the fabric.

        Args:
            inner: The IP packet.
        """
        data = geneve.encapsulate(inner)
        self._counts.data_bytes_sent += len(data)
        self._actions.append(actions.SendPacket(endpoint=self._fabric, data=data))

    def send_to_sibling(self, member_id: int, inner: bytes, steering: geneve.Steering) -> None:
        """Passes a packet on to a sibling.

        Args:
            member_id: Which sibling.
            inner: The IP packet.
            steering: What the sibling is asked to do.
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
            member_id: Which member.
            body: The unsigned body.

        Returns:
            Its size in bytes; 0 where the member is not known.
        """
        member = self._members.members.get(member_id)
        if member is None:
            return 0
        return self.send_control_to(member.control_endpoint, body)

    def send_control_to(self, endpoint: tuple[str, int], body: peer_pb2.Datagram) -> int:
        """Sends a control datagram to an endpoint, such as a seed not yet known by name.

        Args:
            endpoint: IP number and UDP port.
            body: The unsigned body.

        Returns:
            Its size in bytes.
        """
        data = self._authenticator.sign(body)
        self._counts.control_bytes_sent += len(data)
        self._actions.append(actions.SendControl(endpoint=endpoint, data=data))
        return len(data)

    def fetch_rules(self, member: membership.Member, number: int) -> None:
        """Asks for a rule file that a sibling has.

        Args:
            member: The sibling.
            number: The number that it has in force.
        """
        self._actions.append(
            actions.FetchRules(host=member.host, port=member.http_port, number=number)
        )

    def log(self, event: events.Event, peer: str, detail: str) -> None:
        """Logs a numbered event.

        Args:
            event: Which event.
            peer: Whom it concerns.
            detail: What happened, in words.
        """
        self._counts.events[event.name] += 1
        self._actions.append(actions.Log(event=event, peer=peer, detail=detail))
