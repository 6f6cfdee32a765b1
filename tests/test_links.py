"""Tests of connections between the system's processes."""

import asyncio

import pytest
from test_lean_daemons import Notes

from zinniaspoke.adapters import links


class Owner(links.Owner):
    def link_opened(self, link):
        pass

    def link_closed(self, link):
        pass

    def frame_received(self, link, kind, payload):
        pass


@pytest.mark.parametrize("step_count", range(5))
def test_closed_dialler_ends_also_if_its_attempt_ends_at_the_same_moment(step_count):
    """A dialler that lost its cancellation went on, and its program's end waited for it."""

    async def play():
        loop = asyncio.get_running_loop()
        attempt = loop.create_future()

        async def connect(*_):
            return await attempt

        loop.create_connection = connect
        dialler = links.Dialler(owner=Owner(), peer="127.0.0.1:1", clock=loop.time, log=Notes())
        await asyncio.sleep(0.01)
        attempt.set_result(None)
        for _ in range(step_count):
            await asyncio.sleep(0)
        dialler.close()
        done, _ = await asyncio.wait({dialler._task}, timeout=1.0)
        # So that a failure does not keep the loop from ending.
        dialler._task.cancel()
        assert done

    asyncio.run(play())
