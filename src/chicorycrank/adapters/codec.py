"""CBOR encoding of typed values."""

from enum import IntEnum
from typing import Any, TypeVar

import cbor2
import msgspec

from chicorycrank.model.messages import AnyMessage

T = TypeVar("T")

MAX_FRAME_BYTES = 2 * 1024 * 1024


class CodecError(Exception):
    """Bytes that are no valid value of the expected type."""


class FrameKind(IntEnum):
    """First element of a frame."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message on a connection.

    :param correlation: pairs a reply with its request; 0 for one-way messages
    """

    kind: FrameKind
    correlation: int
    message: AnyMessage


class Envelope(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A frame whose message may be of a kind that this version does not know."""

    kind: FrameKind
    correlation: int
    message: tuple[Any, ...]


class MessageError(CodecError):
    """A well-formed frame holds a message of an unknown kind or shape."""

    def __init__(self, envelope: Envelope, detail: str) -> None:
        super().__init__(detail)
        self.envelope = envelope


def encode(value: Any) -> bytes:
    """Encode a typed value."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, kind: type[T]) -> T:
    """Decode a value of type ``kind``.

    :raises CodecError: the bytes are malformed or of another shape
    """
    try:
        return msgspec.convert(cbor2.loads(data), kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error
    except Exception as error:  # CBOR tags run converters that raise errors of many kinds.
        raise CodecError(f"malformed CBOR: {error!r}") from error


def decode_frame(data: str | bytes) -> Frame:
    """Decode a frame.

    :raises MessageError: the frame is well formed, its message is not
    :raises CodecError: the frame is malformed
    """
    if isinstance(data, str):
        raise CodecError("text frame")
    try:
        return decode(data, Frame)
    except CodecError as error:
        outer = decode(data, Envelope)
        raise MessageError(outer, str(error)) from error
