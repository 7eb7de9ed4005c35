"""Base class of the messages between entries and agents, and common replies."""

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages; the tag on the wire is the class name."""


class Ok(Message, frozen=True):
    """Positive reply without content."""


class Refused(Message, frozen=True):
    """Negative reply; the call has changed nothing.

    :param code: machine-readable reason, such as ``stale_epoch``, which programs may rely on
    :param detail: explanation for people
    :param retry_after_s: time in seconds after which to retry; 0 if unknown
    """

    code: str
    detail: str = ""
    retry_after_s: float = 0.0


class Text(Message, frozen=True):
    """Reply with a JSON document."""

    text: str
