"""A deployment on virtual time that the benchmarks share."""

from collections.abc import Callable

from zinniaspoke import entry, placement, rules
from zinniaspoke.standins import virtual

ZONES = ("a", "b", "c", "d")
ENTRY_COUNT = 6
SETTLE_S = 2.0
Prepare = Callable[[entry.Entry], None]


class Deployment:
    """Six entry VMs in four zones and the targets of some services.

    Attributes:
        net: The virtual network.
        rules: The rules in force, by service and class.
    """

    def __init__(
        self,
        *,
        seed: int,
        host_counts: dict[str, int],
        slot_count: int = 2,
        policy: str = placement.DEFAULT_POLICY,
        prepare: Prepare = lambda core: None,
    ) -> None:
        """Starts the deployment and lets it settle.

        Args:
            seed: Seed of all random choices.
            host_counts: Targets by service.
            slot_count: Slots of each target.
            policy: Placement policy.
            prepare: Changes each core before it runs, to measure another design.
        """
        self.net = virtual.Net(seed=seed, policy=policy)
        self._prepare = prepare
        self._entry_count = 0
        for _ in range(ENTRY_COUNT):
            self.add_entry()
        lines = []
        for index, service in enumerate(host_counts):
            lines.append(f"10.20.0.{1 + index}:8443 tcp {service} # benchmark: short work")
            lines.append(
                f"10.20.1.{1 + index}:8443 tcp {service} class=long wait_s=10 # benchmark: long"
            )
        content = "\n".join(lines).encode()
        self.net.set_rules(1, content)
        found = rules.parse(1, content).rules.values()
        self.rules = {(rule.service, rule.is_long): rule for rule in found}
        self.run_for(SETTLE_S)
        for block, (service, count) in enumerate(host_counts.items()):
            for index in range(count):
                address = f"127.0.{10 + block}.{1 + index}"
                self.net.add_target(service, address, ZONES[index % 4], slot_count)
        self.run_for(SETTLE_S)

    def add_entry(self) -> str:
        """Starts one more entry VM.

        Returns:
            Its name.
        """
        number = self._entry_count
        self._entry_count += 1
        name = f"entry-{number}"
        node = self.net.add_entry(name, ZONES[number % 4], 1 + number)
        self._prepare(node.core)
        return name

    def run_for(self, seconds: float) -> None:
        """Lets virtual time pass.

        Args:
            seconds: How much.
        """
        self.net.loop.run_until(self.net.loop.time() + seconds)

    def cores(self) -> list[entry.Entry]:
        """Returns the cores of the entry VMs that run."""
        return [node.core for node in self.net.nodes.values()]
