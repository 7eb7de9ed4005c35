"""Connections between peers: handshake, listening and dialling."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from chicorycrank.adapters.codec import (
    MAX_FRAME_BYTES,
    CodecError,
    Frame,
    FrameKind,
    decode_frame,
    encode,
)
from chicorycrank.adapters.peer_link import PeerLink, sum_traffic
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    Goodbye,
    Hello,
    Role,
    Welcome,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkNotSentError

__all__ = ["PeerLink", "dial", "listen", "sum_traffic"]

HANDSHAKE_TIMEOUT = timedelta(seconds=3)
CLOSE_TIMEOUT_S = 1.0
# Frames read ahead of the handler; a full queue stops reading and so slows the peer down.
MAX_QUEUED_FRAMES = 16

logger = logging.getLogger("absl")

Accept = Callable[[Hello], Awaitable[Welcome | Goodbye]]
OnLink = Callable[[PeerLink], Awaitable[None]]


def check_hello(hello: Hello) -> str | None:
    """Return why a handshake is refused, or nothing."""
    if hello.version != PROTOCOL_VERSION:
        return f"version {hello.version} is not {PROTOCOL_VERSION}"
    if not hello.peer_id or not hello.incarnation:
        return "peer id or incarnation is empty"
    return None


async def _read_message(connection: Connection) -> AnyMessage:
    async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
        data = await connection.recv()
    return decode_frame(data).message


async def _write_message(connection: Connection, message: AnyMessage) -> None:
    async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
        await connection.send(encode(Frame(FrameKind.ONE_WAY, 0, message)))


async def listen(
    host: str,
    port: int,
    *,
    accept: Accept,
    on_link: OnLink,
    handler: Handler,
    clock: Clock,
    heartbeat: Callable[[Hello], timedelta],
    counters: Counter[str] | None = None,
) -> Server:
    """Accept peers; each connection is served by one task until it closes.

    :param accept: decides on a peer's hello
    :param on_link: called with the open link before its messages are handled
    :param counters: counts by event what was refused
    """
    counters = Counter() if counters is None else counters
    links: set[PeerLink] = set()

    async def serve_connection(connection: ServerConnection) -> None:
        hello = await _greet(connection, accept, links, counters)
        if hello is None:
            return
        link = PeerLink(connection, hello, handler, clock, heartbeat(hello), counters)
        links.add(link)
        try:
            await on_link(link)
            await link.run()
        finally:
            links.discard(link)

    return await serve(
        serve_connection,
        host,
        port,
        max_size=MAX_FRAME_BYTES,
        max_queue=MAX_QUEUED_FRAMES,
        compression=None,
        open_timeout=HANDSHAKE_TIMEOUT.total_seconds(),
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        server_header=None,
    )


async def _greet(
    connection: ServerConnection, accept: Accept, links: set[PeerLink], counters: Counter[str]
) -> Hello | None:
    """Shake hands with a peer that dialled; nothing is returned if it was refused."""
    try:
        hello = await _read_message(connection)
        if not isinstance(hello, Hello):
            raise CodecError("first message is no Hello")
        problem = check_hello(hello) or _find_namesake(links, hello)
        answer = Goodbye(problem) if problem else await accept(hello)
        await _write_message(connection, answer)
    except (CodecError, ConnectionClosed, TimeoutError) as error:
        counters["handshake_refused"] += 1
        logger.warning("event=handshake_refused error=%s", error)
        return None
    if isinstance(answer, Goodbye):
        counters["handshake_refused"] += 1
        logger.warning("event=handshake_refused peer=%s error=%s", hello.peer_id, answer.reason)
        return None
    return hello


def _find_namesake(links: set[PeerLink], hello: Hello) -> str | None:
    """Refuse a second incarnation of a peer while a connection of the first one lives.

    A silent connection is closed after the missed heartbeats, so a restarted peer gets in then.
    Without certificates this proves no identity: whoever comes first has the name. It only keeps
    two processes with one name from taking each other's messages unnoticed.
    """
    for link in links:
        same = (link.peer.role, link.peer.peer_id) == (hello.role, hello.peer_id)
        if same and link.is_open and link.peer.incarnation != hello.incarnation:
            return f"peer id {hello.peer_id} is in use by another incarnation"
    return None


async def dial(
    address: str,
    *,
    hello: Hello,
    handler: Handler,
    clock: Clock,
    heartbeat: timedelta,
    counters: Counter[str] | None = None,
) -> tuple[PeerLink, Welcome]:
    """Open a connection and shake hands; the caller runs the link.

    :param address: ``host:port`` of the peer
    :raises LinkNotSentError: the peer is unreachable or refused the handshake
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            connection = await connect(
                f"ws://{address}/",
                max_size=MAX_FRAME_BYTES,
                max_queue=MAX_QUEUED_FRAMES,
                compression=None,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
                proxy=None,
                user_agent_header=None,
            )
    except (OSError, TimeoutError, WebSocketException) as error:
        raise LinkNotSentError(f"cannot connect to {address}: {error}") from error
    try:
        await _write_message(connection, hello)
        reply = await _read_message(connection)
    except (ConnectionClosed, TimeoutError, CodecError) as error:
        await connection.close()
        raise LinkNotSentError(f"handshake with {address} failed: {error}") from error
    if not isinstance(reply, Welcome):
        await connection.close()
        reason = reply.reason if isinstance(reply, Goodbye) else "unexpected reply"
        raise LinkNotSentError(f"{address} refused the handshake: {reason}")
    entry = reply.entry
    peer = Hello(
        version=hello.version,
        role=Role.ENTRY,
        peer_id=entry.entry_id,
        incarnation=Incarnation(reply.incarnation),
        region=RegionId(entry.region),
        zone=ZoneId(entry.zone),
        address=entry.peer_address,
    )
    return PeerLink(connection, peer, handler, clock, heartbeat, counters), reply
