"""CBOR encoding of typed values and of the frames of peer connections."""

from enum import IntEnum
from typing import Any, TypeVar

import cbor2
import msgspec

from chicorycrank.model.messages import AnyMessage

T = TypeVar("T")

MAX_FRAME_BYTES = 2 * 1024 * 1024


class CodecError(Exception):
    """The bytes are not a valid value of the expected type."""


class FrameKind(IntEnum):
    """Kind of a frame, its first element."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Message on a connection between peers.

    :param correlation: number that a reply shares with its request; 0 for one-way messages
    """

    kind: FrameKind
    correlation: int
    message: AnyMessage


class Envelope(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Frame with an undecoded message, whose kind this version may not know."""

    kind: FrameKind
    correlation: int
    message: tuple[Any, ...]


class MessageError(CodecError):
    """The frame is well formed, but its message has an unknown kind or invalid fields."""

    def __init__(self, envelope: Envelope, detail: str) -> None:
        super().__init__(detail)
        self.envelope = envelope


def encode(value: Any) -> bytes:
    """Encode a typed value."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, value_type: type[T]) -> T:
    """Decode a value of type ``value_type``.

    :raises CodecError: the bytes are malformed or do not match the type
    """
    try:
        return msgspec.convert(cbor2.loads(data), value_type, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error
    except Exception as error:
        # cbor2 runs a converter for each CBOR tag, which may raise any exception.
        raise CodecError(f"malformed CBOR: {error!r}") from error


def decode_frame(data: str | bytes) -> Frame:
    """Decode a frame.

    :raises MessageError: the frame is well formed, but its message cannot be decoded
    :raises CodecError: the frame is malformed
    """
    if isinstance(data, str):
        raise CodecError("expected a binary frame, received a text frame")
    try:
        return decode(data, Frame)
    except CodecError as error:
        envelope = decode(data, Envelope)
        raise MessageError(envelope, str(error)) from error
