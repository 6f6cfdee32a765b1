"""Discovery of peers: bootstrap of the initial replica set, and join requests of later replicas."""

from collections.abc import Iterable

from zinniaspoke import voters

JOIN_RETRY_S = 0.3
# A join request that has not been repeated for this long is dropped; the replica may have stopped.
JOIN_REQUEST_EXPIRY_S = 3 * JOIN_RETRY_S


class PeerDiscovery:
    """Peers that a replica contacts to become a member, and join requests that a leader received.

    Attributes:
        seeds: Names to contact besides the known members.
        accepts_new_members: Whether replicas other than the initial voters may join.
    """

    def __init__(
        self,
        *,
        name: str,
        initial_voters: tuple[str, ...],
        accepts_new_members: bool,
        may_bootstrap: bool,
    ) -> None:
        """Starts with the initial voters as seeds.

        Args:
            name: This replica's name.
            initial_voters: Names of the voters of the initial replica set.
            accepts_new_members: Whether replicas other than the initial voters may join.
            may_bootstrap: Whether this process may create the initial replica set.
        """
        self._name = name
        self._initial_voters = initial_voters
        self._may_bootstrap = may_bootstrap
        self.accepts_new_members = accepts_new_members
        self.seeds = initial_voters
        self._discovered_names: frozenset[str] = frozenset()
        self._empty_members: dict[str, str] = {}
        self._pending_joins: dict[str, float] = {}
        self._last_request_s = -1e9

    # Requesting replica

    def peers_to_ask(self, members: Iterable[str], now_s: float) -> list[str]:
        """Returns the names to send a join request to, at most once per ``JOIN_RETRY_S``.

        Args:
            members: Known members of the replica set.
            now_s: Current time.
        """
        if now_s - self._last_request_s < JOIN_RETRY_S:
            return []
        self._last_request_s = now_s
        known = {voters.name_of(member) for member in members}
        return sorted({*self.seeds, *known, *self._discovered_names} - {self._name})

    def record_reply(self, member: str, is_empty: bool, member_names: Iterable[str]) -> None:
        """Records the reply to a join request.

        Args:
            member: The replica that replied.
            is_empty: Whether it has never stored an entry, a term or a snapshot.
            member_names: Names of the members that it knows.
        """
        if self.accepts_new_members:
            self._discovered_names = frozenset(member_names)
        if is_empty:
            self._empty_members[voters.name_of(member)] = member
        else:
            self._empty_members.pop(voters.name_of(member), None)

    def other_initial_voters(self) -> list[str] | None:
        """Returns the other initial voters if this replica may create the initial replica set now.

        Only the initial voter with the lowest name creates the set, so that there are never two of
        them, and only once all others have replied and are empty.
        """
        if (
            not self._may_bootstrap
            or not self._initial_voters
            or self._name != min(self._initial_voters)
        ):
            return None
        others = [name for name in self._initial_voters if name != self._name]
        if not all(name in self._empty_members for name in others):
            return None
        return [self._empty_members[name] for name in others]

    # Leader

    def record_join_request(self, member: str, now_s: float) -> None:
        """Records the join request of a replica, if it may join.

        Args:
            member: The replica.
            now_s: Current time.
        """
        if self.accepts_new_members or voters.name_of(member) in self._initial_voters:
            self._pending_joins[member] = now_s

    def pending_joins(self, now_s: float) -> list[str]:
        """Returns the replicas with a join request that has not expired.

        Args:
            now_s: Current time.
        """
        current = {
            m: s for m, s in self._pending_joins.items() if now_s - s <= JOIN_REQUEST_EXPIRY_S
        }
        self._pending_joins = current
        return list(current)
