"""Operators: rule files, reads and evacuations."""

import asyncio
import json
import random
import zlib

from soak import net, processes, promises, schedule

SERVICES = ("x", "y")
PORTS = tuple(range(8000, 8008))
CHANGE_S = (0.8, 3.0)
READ_S = 0.4
RETRY_S = 0.1
CONFIG_PATH = "/api/config"
EVACUATION_PATH = "/api/evacuations/"


class Operators:
    """Sends orders to any control VM and reads back.

    Attributes:
        is_quiet: Whether no further change is to be made.
    """

    def __init__(
        self,
        *,
        paths: net.Net,
        addresses: processes.Addresses,
        judge: promises.Judge,
        rng: random.Random,
    ) -> None:
        """Prepares the operators."""
        self._paths = paths
        self._addresses = addresses
        self._judge = judge
        self._rng = rng
        self._number = 0
        self._routes = {port: SERVICES[port // 2 % 2] for port in PORTS[:4]}
        self._evacuated: set[str] = set()
        self.is_quiet = False

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def ports(self) -> list[int]:
        """Returns the routes' ports, now and then one that is not in the newest rule file."""
        number = self._judge.acknowledged(self._now())
        known = list(self._judge.versions[number].routes) if number else []
        return [*known, *known, *known, self._rng.choice(PORTS)] if known else []

    def service_of(self, port: int) -> str | None:
        """Returns the service of a port in the newest acknowledged rule file."""
        number = self._judge.acknowledged(self._now())
        return self._judge.versions[number].routes.get(port) if number else None

    def evacuated_since(self, since_s: float) -> set[str]:
        """Returns the zones that may have been evacuated at any time since a moment."""
        ended = {order.zone for order in self._judge.evacuations if order.ended_s > since_s}
        return self._evacuated | ended

    def _endpoint(self, control: str) -> tuple[str, int]:
        return self._addresses.vm(control), processes.CALL_PORT

    def _next(self) -> int:
        """Draws the next rule file: adds, removes or turns a route to the other service."""
        if self._number:
            port = self._rng.choice(PORTS)
            if port not in self._routes:
                self._routes[port] = self._rng.choice(SERVICES)
            elif len(self._routes) > 3 and self._rng.random() < 0.4:
                del self._routes[port]
            else:
                self._routes[port] = SERVICES[1 - SERVICES.index(self._routes[port])]
        self._number += self._rng.choice((1, 1, 2, 5))
        cold = {}
        if processes.COLD_PER_S:
            cold = {"cold_per_s": processes.COLD_PER_S, "cold_start_s": processes.COLD_START_S}
        body = {
            "version": self._number,
            "routes": [
                {
                    "name": f"r{port}",
                    "hostname": processes.ROUTE_HOST,
                    "path_prefix": f"/{port}/",
                    "route_type": "unsafe" if port % 2 else "safe",
                    "timeout_ms": self._rng.randrange(1000, 9000),
                    "service": service,
                }
                for port, service in sorted(self._routes.items())
            ],
            "services": [{"name": name, "health_path": "/health", **cold} for name in SERVICES],
            "limits": {"idle_timeout_ms": 15000},
        }
        self._judge.versions[self._number] = promises.Version(
            routes=dict(self._routes), body=json.dumps(body).encode(), sent_s=self._now()
        )
        return self._number

    async def _order(self, method: str, path: str, body: bytes = b"") -> int | None:
        """Sends an order until it gets a clear answer; returns its status."""
        sent_s, is_overdue = self._now(), False
        bound_s = processes.BOUNDS["ack_timeout_ms"] / 1000
        controls = list(schedule.CONTROLS)
        while True:
            control = self._rng.choice(controls)
            answer = await self._paths.call(
                self._addresses.operator, self._endpoint(control), method, path, body
            )
            if answer is not None and answer[0] < 500 and answer[0] not in (408, 429):
                if answer[0] // 100 != 2 and answer[0] != 404:
                    order = f"{method} {path} {zlib.crc32(body):x}"
                    self._judge.refused_order(self._now(), control, order, answer[0])
                return answer[0]
            if not is_overdue and self._now() - sent_s > bound_s:
                is_overdue = True
                self._judge.order_overdue(sent_s, self._now(), f"{method} {path}")
            await asyncio.sleep(RETRY_S)

    async def put(self, number: int) -> None:
        """Sends a rule file until it is acknowledged."""
        version = self._judge.versions[number]
        if await self._order("PUT", CONFIG_PATH, version.body) == 200:
            version.acknowledged_s = min(version.acknowledged_s, self._now())
            self._judge.counts["rule files acknowledged"] += 1

    async def change(self) -> None:
        """Changes the rule file; returns right after the acknowledgement."""
        await self.put(self._next())

    async def change_forever(self) -> None:
        """Changes the rule file: alone, two at once, and earlier ones again."""
        await self.change()
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_S))
            if self.is_quiet:
                continue
            numbers = [self._next()]
            if self._rng.random() < 0.25:
                numbers.append(self._next())
            if self._rng.random() < 0.25:
                acknowledged = [
                    n for n, v in self._judge.versions.items() if v.acknowledged_s < self._now()
                ]
                numbers.append(self._rng.choice(acknowledged))
            await asyncio.gather(*(self.put(number) for number in numbers))

    async def read(self, control: str) -> int | None:
        """Reads the rule file in force; returns its number."""
        sent_s = self._now()
        answer = await self._paths.call(
            self._addresses.operator, self._endpoint(control), "GET", CONFIG_PATH
        )
        if answer is None or answer[0] != 200:
            return None
        number = json.loads(answer[1])["version"]
        self._judge.read(sent_s, self._now(), control, number, answer[1])
        return number

    async def read_forever(self) -> None:
        """Reads at any control VM; the same one is read again by its neighbours' lag."""
        while True:
            await asyncio.sleep(READ_S)
            await self.read(self._rng.choice(schedule.CONTROLS))

    async def evacuate(self, zone: str, length_s: float | None) -> bool:
        """Orders an evacuation, and its end after a while unless it is to stay.

        Returns:
            Whether the control VMs know such orders.
        """
        if zone in self._evacuated:
            return True
        self._evacuated.add(zone)
        status = await self._order("POST", EVACUATION_PATH + zone)
        if status == 404:
            self._judge.counts["evacuations unknown to the product"] += 1
            self._evacuated.discard(zone)
            return False
        order = promises.Order(zone=zone, acknowledged_s=self._now())
        self._judge.evacuations.append(order)
        self._judge.counts["evacuations acknowledged"] += 1
        if length_s is not None:
            await asyncio.sleep(length_s)
            order.ended_s = self._now()
            await self._order("DELETE", EVACUATION_PATH + zone)
            self._evacuated.discard(zone)
        return True
