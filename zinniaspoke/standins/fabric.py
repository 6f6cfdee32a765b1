"""Stand-in for the fabric: sprays packets at random over entry VMs that pass a health check."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import attrs

from zinniaspoke import geneve, packets
from zinniaspoke.adapters import udp

CHECK_S = 0.25
CHECK_TIMEOUT_S = 0.5
FAILURE_LIMIT = 2


@attrs.define(kw_only=True, slots=True)
class Route:
    """An entry VM as the fabric sees it.

    Attributes:
        host: IP number.
        data_port: UDP port for packets.
        http_port: TCP port of the health check.
        failure_count: Checks failed in a row.
        is_ready: Whether packets are sprayed to it.
    """

    host: str
    data_port: int
    http_port: int
    failure_count: int = FAILURE_LIMIT
    is_ready: bool = False


class Fabric:
    """Carries packets between callers, entry VMs and targets."""

    def __init__(self, *, rng: random.Random) -> None:
        """Starts without routes.

        Args:
            rng: Decides which entry VM gets a packet.
        """
        self._rng = rng
        self._routes: dict[str, Route] = {}
        self._socket: udp.UdpSocket | None = None
        self._task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None
        self.deliver: Callable[[packets.Packet], None] = lambda packet: None

    async def start(self, host: str, port: int) -> None:
        """Opens the fabric's socket and starts its health checks.

        Args:
            host: IP number.
            port: UDP port.
        """
        self._socket = await udp.open_socket(host, port, self._receive)
        self._session = aiohttp.ClientSession()
        self._task = asyncio.get_running_loop().create_task(self._check_forever())

    async def stop(self) -> None:
        """Closes the socket."""
        self._task.cancel()
        await self._session.close()
        self._socket.close()

    def add(self, route: Route) -> None:
        """Adds an entry VM.

        Args:
            route: Where it listens.
        """
        self._routes[route.host] = route

    def remove(self, host: str) -> None:
        """Removes an entry VM.

        Args:
            host: Its IP number.
        """
        self._routes.pop(host, None)

    @property
    def ready_count(self) -> int:
        """Entry VMs that pass the health check."""
        return sum(route.is_ready for route in self._routes.values())

    def pick(self) -> Route | None:
        """Returns a random entry VM that passes the health check."""
        ready = [route for route in self._routes.values() if route.is_ready]
        return self._rng.choice(ready) if ready else None

    def send_from_caller(self, inner: bytes) -> None:
        """Hands a caller's packet to any entry VM.

        Args:
            inner: The IP packet.
        """
        route = self.pick()
        if route is not None:
            self._socket.send((route.host, route.data_port), geneve.encapsulate(inner))

    def _receive(self, data: bytes, _: tuple[str, int]) -> None:
        frame = geneve.decapsulate(data, ())
        self.deliver(packets.decode(frame.inner))

    async def _check_forever(self) -> None:
        while True:
            await asyncio.gather(*(self._check(route) for route in self._routes.values()))
            await asyncio.sleep(CHECK_S)

    async def _check(self, route: Route) -> None:
        url = f"http://{route.host}:{route.http_port}/health"
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                is_ok = answer.status == 200
                is_told = True
        except (aiohttp.ClientError, TimeoutError):
            is_ok = is_told = False
        route.failure_count = 0 if is_ok else route.failure_count + 1
        if is_ok:
            route.is_ready = True
        elif is_told or route.failure_count >= FAILURE_LIMIT:
            route.is_ready = False
