"""Set-up of connections between peers: listening, dialling and the handshake."""

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
from chicorycrank.ports.links import Handler, MessageNotSentError

__all__ = ["PeerLink", "dial", "listen", "sum_traffic"]

HANDSHAKE_TIMEOUT = timedelta(seconds=3)
CLOSE_TIMEOUT_S = 1.0
# Received frames of a connection that are not processed yet. Reading stops while this queue is
# full, so that flow control slows down the peer.
MAX_QUEUED_FRAMES = 16

logger = logging.getLogger("absl")

HelloHandler = Callable[[Hello], Awaitable[Welcome | Goodbye]]
LinkCallback = Callable[[PeerLink], Awaitable[None]]


def check_hello(hello: Hello) -> str | None:
    """Return the reason to refuse a handshake, or None."""
    if hello.version != PROTOCOL_VERSION:
        return f"protocol version {hello.version} is not supported, expected {PROTOCOL_VERSION}"
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
    accept: HelloHandler,
    on_link: LinkCallback,
    handler: Handler,
    clock: Clock,
    heartbeat: Callable[[Hello], timedelta],
    counters: Counter[str] | None = None,
) -> Server:
    """Accept connections of peers; one task serves each connection until it is closed.

    :param accept: decides whether to accept the Hello of a peer
    :param on_link: called with the open link before its messages are handled
    :param heartbeat: returns the heartbeat interval for a peer
    :param counters: counts of faults and refused messages, keyed by the logged event
    """
    counters = Counter() if counters is None else counters
    links: set[PeerLink] = set()

    async def serve_connection(connection: ServerConnection) -> None:
        hello = await _accept_handshake(connection, accept, links, counters)
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


async def _accept_handshake(
    connection: ServerConnection, accept: HelloHandler, links: set[PeerLink], counters: Counter[str]
) -> Hello | None:
    """Perform the handshake with a peer that dialled; return None if it is refused."""
    try:
        hello = await _read_message(connection)
        if not isinstance(hello, Hello):
            raise CodecError("the first message is not a Hello")
        refusal_reason = check_hello(hello) or _find_incarnation_conflict(links, hello)
        reply = Goodbye(refusal_reason) if refusal_reason else await accept(hello)
        await _write_message(connection, reply)
    except (CodecError, ConnectionClosed, TimeoutError) as error:
        counters["handshake_refused"] += 1
        logger.warning("event=handshake_refused error=%s", error)
        return None
    if isinstance(reply, Goodbye):
        counters["handshake_refused"] += 1
        logger.warning("event=handshake_refused peer=%s error=%s", hello.peer_id, reply.reason)
        return None
    return hello


def _find_incarnation_conflict(links: set[PeerLink], hello: Hello) -> str | None:
    """Return the reason to refuse a peer whose id another incarnation uses on an open link.

    An unresponsive connection is closed after the missed heartbeats, so a restarted peer is
    accepted after that time. The check does not prove an identity: without certificates, the first
    process to use a peer id is accepted. It only prevents two processes with the same id from
    receiving each other's messages unnoticed.
    """
    for link in links:
        is_same_peer = (link.peer.role, link.peer.peer_id) == (hello.role, hello.peer_id)
        if is_same_peer and link.is_open and link.peer.incarnation != hello.incarnation:
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
    """Open a connection and perform the handshake; the caller has to run the link.

    :param address: ``host:port`` of the peer
    :raises MessageNotSentError: the peer is unreachable or refused the handshake
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
        raise MessageNotSentError(f"cannot connect to {address}: {error}") from error
    try:
        await _write_message(connection, hello)
        reply = await _read_message(connection)
    except (ConnectionClosed, TimeoutError, CodecError) as error:
        await connection.close()
        raise MessageNotSentError(f"handshake with {address} failed: {error}") from error
    if not isinstance(reply, Welcome):
        await connection.close()
        reason = reply.reason if isinstance(reply, Goodbye) else "reply is not a Welcome"
        raise MessageNotSentError(f"{address} refused the handshake: {reason}")
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
