"""Runs coroutine tests with trio, on a mock clock unless they use sockets."""

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

    # The mock clock would jump while data is in transit through a socket, so
    # tests that use sockets run on the real clock.
    if any(map(pyfuncitem.get_closest_marker, ("processes", "loopback"))):
        trio.run(main)
    else:
        # The clock jumps when all tasks wait, so sleeping takes no real time.
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return True
