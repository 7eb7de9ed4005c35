"""Base of all messages between entries and agents, and the general replies."""

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the tag is the class name."""


class Ok(Message, frozen=True):
    """Positive reply without content."""


class Refused(Message, frozen=True):
    """Negative reply; nothing was changed.

    :param code: stable word for programs, such as ``stale_epoch``
    :param retry_after_s: time after which a retry makes sense in seconds; 0 if unknown
    """

    code: str
    detail: str = ""
    retry_after_s: float = 0.0


class Text(Message, frozen=True):
    """A JSON document."""

    text: str
