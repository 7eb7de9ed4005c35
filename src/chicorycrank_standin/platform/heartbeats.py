"""Messages that the stand-in of an executor sends to its agent."""

import json
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import urllib3

from chicorycrank_standin.background import start_daemon_thread

HEARTBEAT_INTERVAL_S = 1.5
RETRY_DELAY_S = 0.2  # after a heartbeat that was not acknowledged
CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Message:
    """Heartbeat, or the exit notice if there is no body.

    :param instance: id of the executor in the path
    """

    instance: str
    body: bytes | None

    @classmethod
    def heartbeat(cls, instance: str, fields: dict[str, Any]) -> "Message":
        """Return a heartbeat with the given fields."""
        return cls(instance=instance, body=json.dumps(fields).encode())


class HeartbeatSender:
    """Sender of the heartbeats of an executor.

    :param agent_address: ``host:port`` of the agent
    :param next_heartbeat: returns the next heartbeat, or None if the executor sends none now
    :param on_acknowledged: called with each heartbeat that the agent has acknowledged
    :ivar acknowledged: number of acknowledged heartbeats
    """

    def __init__(
        self,
        name: str,
        agent_address: str,
        next_heartbeat: Callable[[], Message | None],
        on_acknowledged: Callable[[Message], None],
    ) -> None:
        self.acknowledged = 0
        self._agent_address = agent_address
        self._next_heartbeat = next_heartbeat
        self._on_acknowledged = on_acknowledged
        self._pool = urllib3.PoolManager(retries=False)
        self._is_due = threading.Event()
        self._stop = threading.Event()
        start_daemon_thread(self._send_forever, f"beat-{name}")

    def send_soon(self) -> None:
        """Send the next heartbeat at once."""
        self._is_due.set()

    def close(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def send(self, message: Message) -> bool:
        """Send a message; return whether the agent has acknowledged it."""
        method = "DELETE" if message.body is None else "PUT"
        url = f"http://{self._agent_address}/-/instances/{message.instance}"
        try:
            response = self._pool.request(method, url, body=message.body, timeout=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False  # an unreachable agent receives a later heartbeat
        return response.status == HTTPStatus.OK

    def _send_forever(self) -> None:
        wait_s = HEARTBEAT_INTERVAL_S
        while not self._stop.is_set():
            self._is_due.wait(wait_s)
            self._is_due.clear()
            message = self._next_heartbeat()
            if message is None:
                continue
            is_acknowledged = self.send(message)
            wait_s = HEARTBEAT_INTERVAL_S if is_acknowledged else RETRY_DELAY_S
            if is_acknowledged:
                self.acknowledged += 1
                self._on_acknowledged(message)


def messages_of_other_writers(fields: dict[str, Any], rng: random.Random) -> list[Message]:
    """Return messages that name no executor to use.

    PROTOCOL.md, "Service discovery": an entry of another writer lacks fields or has some of another
    type, names an unknown state or service, or can't be read. Some are well-formed, have an id that
    nobody has, and a later start time.

    :param fields: those of a heartbeat of the agent's own executor
    """
    name = f"i-{rng.getrandbits(32):08x}"
    later = {**fields, "born": fields["born"] + rng.randrange(1, 5000), "seq": 1}
    missing = dict(later)
    del missing[rng.choice(["service", "state", "seq", "capacity", "born"])]
    messages = [
        Message.heartbeat(name, missing),
        Message.heartbeat(name, {**later, rng.choice(["zone", "state", "labels"]): 7}),
        Message.heartbeat(name, {**later, "state": "resting"}),
        Message.heartbeat(name, {**later, "service": "unknown"}),
        Message.heartbeat(name, later),
        Message(instance=name, body=rng.randbytes(40)),
        Message(instance=name, body=None),
    ]
    rng.shuffle(messages)
    return messages
