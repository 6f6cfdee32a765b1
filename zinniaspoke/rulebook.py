"""Rule sets of an entry VM; the number in force never decreases."""

from collections import deque

from zinniaspoke import errors, packets, rules

# Rule sets kept, the one in force included.
RETAINED_COUNT = 4


class RuleBook:
    """The rule set in force and its predecessors, up to ``RETAINED_COUNT`` sets."""

    def __init__(self) -> None:
        """Starts with the empty rule set."""
        self._sets: deque[rules.RuleSet] = deque([rules.EMPTY], maxlen=RETAINED_COUNT)

    @property
    def current(self) -> rules.RuleSet:
        """The rule set in force."""
        return self._sets[-1]

    @property
    def number(self) -> int:
        """Number of the rule set in force; 0 for none."""
        return self._sets[-1].number

    def install(self, number: int, content: bytes) -> bool:
        """Puts a committed rule file in force if it is newer than the current one.

        Args:
            number: The file's number.
            content: The file's bytes.

        Returns:
            Whether the file was newer and is now in force.

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
            address: Service address, 4 or 16 bytes.
            port: Service port, 2 bytes.

        Returns:
            The rule, or ``no_rule``.
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
        """Finds the service to which all retained rule sets map a packet.

        The rule set in force must have a rule for the packet; earlier ones without are ignored.

        Args:
            packet: A packet from a caller.

        Returns:
            The service, or ``rules_disagree``.
        """
        key = rules.service_key(packet.protocol, packet.destination, packet.destination_port)
        found = {s.rules[key].service for s in self._sets if key in s.rules}
        if len(found) != 1 or key not in self.current.rules:
            return errors.Nothing(reason="rules_disagree")
        return found.pop()
