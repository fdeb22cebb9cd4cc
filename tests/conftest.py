"""Runs every coroutine test under trio, on the mock clock unless marked."""

import inspect

import pytest
import trio
import trio.testing


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    function = pyfuncitem.obj
    if not inspect.iscoroutinefunction(function):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def main():
        await function(**arguments)

    # The mock clock jumps ahead while bytes are on their way through a socket,
    # so tests that use sockets run on the real clock.
    if any(map(pyfuncitem.get_closest_marker, ("processes", "loopback"))):
        trio.run(main)
    else:
        # The clock jumps whenever all tasks wait, so no test takes real time.
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return True
