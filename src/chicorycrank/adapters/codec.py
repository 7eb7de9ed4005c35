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
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise CodecError(f"malformed CBOR: {error}") from error
