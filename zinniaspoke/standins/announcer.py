"""A target stand-in on real sockets, which announces itself over HTTP."""

import asyncio
import random

import aiohttp

from zinniaspoke import geneve, packets
from zinniaspoke.adapters import udp
from zinniaspoke.standins import fabric, target, traffic

ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5
ATTEMPT_COUNT = 3


class AnnouncingTarget:
    """One target process with its socket and its announcements.

    Attributes:
        host: The process behind the socket.
    """

    def __init__(
        self,
        *,
        service: str,
        address: str,
        port: int,
        incarnation: int,
        token: str,
        net: fabric.Fabric,
        tally: traffic.Traffic,
        rng: random.Random,
    ) -> None:
        """Prepares a target.

        Args:
            service: Its service.
            address: Its IP number.
            port: Its service port.
            incarnation: Number of this process.
            token: Announcement token.
            net: The fabric.
            tally: Where outcomes are counted.
            rng: Seeded random source.
        """
        self.host = target.TargetHost(
            service=service,
            host=address,
            incarnation=incarnation,
            slot_count=2,
            loop=asyncio.get_running_loop(),
            transmit=self._transmit,
            tally=tally,
            rng=rng,
        )
        self._port = port
        self._token = token
        self._net = net
        self._sequence = 0
        self._state = "ready"
        self._has_waited = False
        self._socket: udp.UdpSocket | None = None
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the socket and starts to announce."""
        self._socket = await udp.open_socket(self.host.host, geneve.PORT, self._receive)
        self._session = aiohttp.ClientSession()
        self._task = asyncio.get_running_loop().create_task(self._announce_forever())

    async def stop(self) -> None:
        """Ends the process at once."""
        self.host.stop()
        self._task.cancel()
        await self._session.close()
        self._socket.close()
        await asyncio.sleep(0)  # The loop closes the socket on its next turn.

    async def drain(self) -> None:
        """Announces that no new work is wanted."""
        self._state = "draining"
        await self._announce()
        self.host.note_draining()

    def _receive(self, data: bytes, _: tuple[str, int]) -> None:
        self.host.receive(packets.decode(geneve.decapsulate(data, ()).inner))

    def _transmit(self, inner: bytes) -> None:
        route = self._net.pick()
        if route is not None:
            self._socket.send((route.host, route.data_port), geneve.encapsulate(inner))

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(ANNOUNCE_S)

    async def _announce(self) -> None:
        """Announces to any entry VM; tries another where one does not answer."""
        self._sequence += 1
        body = {
            "address": self.host.host,
            "port": self._port,
            "service": self.host.service,
            "incarnation": self.host.incarnation,
            "sequence": self._sequence,
            "state": self._state,
            "slot_count": self.host.slot_count,
        }
        for _ in range(ATTEMPT_COUNT):
            route = self._net.pick()
            if route is None or await self._put(route, body):
                return

    def _wait(self, seconds: float) -> None:
        """Takes no packets while those of an older process at the address may still come."""
        if seconds > 0.0 and not self._has_waited:
            self.host.is_stalled = True
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, setattr, self.host, "is_stalled", False)
        self._has_waited = True

    async def _put(self, route: fabric.Route, body: dict[str, object]) -> bool:
        url = f"http://{route.host}:{route.http_port}/targets"
        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        try:
            async with self._session.put(
                url, json=body, headers=headers, timeout=timeout
            ) as answer:
                if answer.status == 200:
                    self._wait((await answer.json())["wait_s"])
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
