"""How replicas find each other: the initial voters of the first set, and those that join later."""

from collections.abc import Iterable

from zinniaspoke import voters

JOIN_S = 0.3
# An applicant that has not asked again for this long is forgotten; it may have ended.
APPLICANT_KEEP_S = 3 * JOIN_S


class PeerDiscovery:
    """What a replica knows of others outside the set.

    Attributes:
        seeds: Names to ask where no member is known.
        accepts_new_members: Whether replicas that are not initial voters may join.
    """

    def __init__(
        self,
        *,
        name: str,
        initial_voters: tuple[str, ...],
        accepts_new_members: bool,
        may_bootstrap: bool,
    ) -> None:
        """Starts with nobody known.

        Args:
            name: This replica's name.
            initial_voters: Names of the replicas of the first set.
            accepts_new_members: Whether replicas that are not initial voters may join.
            may_bootstrap: Whether the first set may be made by this process.
        """
        self._name = name
        self._initial_voters = initial_voters
        self._may_bootstrap = may_bootstrap
        self.accepts_new_members = accepts_new_members
        self.seeds = initial_voters
        self._learnt_names: frozenset[str] = frozenset()
        self._empty_members: dict[str, str] = {}
        self._applicants: dict[str, float] = {}
        self._asked_s = -1e9

    # Of a replica that is in no set

    def whom_to_ask(self, members: Iterable[str], now_s: float) -> list[str]:
        """Returns the names to ask now, none where that was done a moment ago.

        Args:
            members: Members of the set as far as it is known.
            now_s: Current time.
        """
        if now_s - self._asked_s < JOIN_S:
            return []
        self._asked_s = now_s
        known = {voters.name_of(member) for member in members}
        return sorted({*self.seeds, *known, *self._learnt_names} - {self._name})

    def take_reply(self, member: str, is_empty: bool, member_names: Iterable[str]) -> None:
        """Takes the answer of someone who was asked.

        Args:
            member: Who answered.
            is_empty: Whether it has never held anything.
            member_names: Members that it knows.
        """
        if self.accepts_new_members:
            self._learnt_names = frozenset(member_names)
        if is_empty:
            self._empty_members[voters.name_of(member)] = member
        else:
            self._empty_members.pop(voters.name_of(member), None)

    def other_initial_voters(self) -> list[str] | None:
        """Returns the other initial voters, once all are there and this replica is to found.

        Only the founder that is first by name founds, so that two sets never arise.
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

    # Of a leader

    def take_request(self, member: str, now_s: float) -> None:
        """Notes that a replica asks to be admitted.

        Args:
            member: The replica.
            now_s: Current time.
        """
        if self.accepts_new_members or voters.name_of(member) in self._initial_voters:
            self._applicants[member] = now_s

    def applicants(self, now_s: float) -> list[str]:
        """Returns the replicas that asked lately.

        Args:
            now_s: Current time.
        """
        kept = {m: s for m, s in self._applicants.items() if now_s - s <= APPLICANT_KEEP_S}
        self._applicants = kept
        return list(kept)
