"""The life of one control link that another node has opened."""

import trio

from sassafras_base import errors
from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_wire.mesh import link_messages
from sassafras_wire.peer import link as links

_UPGRADE_TIMEOUT_S = 2.0
# The other side asks at least this often; a longer silence is a lost link.
_SILENCE_S = 10.0


@events.declare(831, "INFO")
def link_lost(peer: str, error: str) -> str:
    """A control link that another node had opened has ended."""
    return f"link from {peer} lost: {error}"


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Answers pings with news, and sends news when this node's entry changes."""
    async with trio.open_nursery() as nursery:
        try:
            link = await links.upgrade(
                nursery, stream, peer, _UPGRADE_TIMEOUT_S
            )
            nursery.start_soon(_send_changes, runtime, link)
            while True:
                with trio.fail_after(_SILENCE_S):
                    ping = await link.expect(link_messages.Ping)
                await link.send(
                    news(runtime, ping.configuration_version, ping.number)
                )
        except (errors.SassafrasError, trio.TooSlowError) as error:
            link_lost(peer, str(error) or "silent")
        nursery.cancel_scope.cancel()


async def _send_changes(runtime: runtimes.Runtime, link: links.Link) -> None:
    while True:
        await runtime.entry_changed.wait()
        try:
            await link.send(news(runtime, runtime.version))
        except errors.ConnectionLostError:
            # The session reads from the same link and reports its end.
            return


def news(
    runtime: runtimes.Runtime, known_version: int, number: int = 0
) -> link_messages.News:
    """Returns what another node should know now.

    Args:
      runtime: The node.
      known_version: Configuration version of the other node.
      number: Number of the ping that is answered; 0 for none.
    """
    age_s = runtime.freshness.age_s(runtime.clock.now_with_suspend())
    return link_messages.News(
        number=number,
        entry=link_messages.to_model(runtime.entry),
        load=runtime.target.gate.load,
        configuration_version=runtime.version,
        confirmed_age_s=min(age_s, 1e6),
        configuration=(
            runtime.document if runtime.version > known_version else b""
        ),
    )
