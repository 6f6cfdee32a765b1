"""The rules in force on an entry VM: they only ever go up."""

from collections import deque

from zinniaspoke import errors, packets, rules

RETAINED_COUNT = 4


class RuleBook:
    """The rule set in force and the few before it."""

    def __init__(self) -> None:
        """Starts with no rules."""
        self._sets: deque[rules.RuleSet] = deque([rules.EMPTY], maxlen=RETAINED_COUNT)

    @property
    def current(self) -> rules.RuleSet:
        """The rule set in force."""
        return self._sets[-1]

    @property
    def number(self) -> int:
        """The number in force; 0 for none."""
        return self._sets[-1].number

    def install(self, number: int, content: bytes) -> bool:
        """Puts a committed rule file in force, unless it is not newer.

        Args:
            number: The file's number.
            content: The file's bytes.

        Returns:
            Whether it was newer.

        Raises:
            errors.RuleError: The bytes are not a valid rule file.
        """
        if number <= self.number:
            return False
        self._sets.append(rules.parse(number, content, self.current))
        return True

    def find(self, protocol: int, address: bytes, port: bytes) -> rules.Rule | errors.Nothing:
        """Finds the rule in force for a service address.

        Args:
            protocol: ``packets.TCP`` or ``packets.UDP``.
            address: Service address, packed.
            port: Service port, 2 bytes.

        Returns:
            The rule, or the reason why there is none.
        """
        found = self.current.rules.get(rules.service_key(protocol, address, port))
        return found or errors.Nothing(reason="no_rule")

    def find_for_caller(self, packet: packets.Packet) -> rules.Rule | errors.Nothing:
        """Finds the rule for a packet from a caller.

        Args:
            packet: The packet.
        """
        return self.find(packet.protocol, packet.destination, packet.destination_port)

    def find_for_return(self, packet: packets.Packet) -> rules.Rule | errors.Nothing:
        """Finds the rule for a packet from a target.

        Args:
            packet: The packet.
        """
        return self.find(packet.protocol, packet.source, packet.source_port)

    def agreed_service(self, packet: packets.Packet) -> str | errors.Nothing:
        """Finds the service on which every retained rule set agrees.

        Args:
            packet: A packet from a caller.

        Returns:
            The service, or the reason why there is none.
        """
        key = rules.service_key(packet.protocol, packet.destination, packet.destination_port)
        found = {s.rules[key].service for s in self._sets if key in s.rules}
        if len(found) != 1 or key not in self.current.rules:
            return errors.Nothing(reason="rules_disagree")
        return found.pop()
