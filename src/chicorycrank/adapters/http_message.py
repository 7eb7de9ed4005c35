"""Incremental reader of HTTP/1.1 requests with limits, without input or output of its own.

A message is handed over when it is complete. A body in chunks is handed over with a
``Content-Length`` instead, and without its trailers (RFC 9112, 7.1.3), so that the server behind
the reader never waits for a client.
"""

import io
import re
from dataclasses import dataclass
from http import HTTPStatus

from cheroot.server import HeaderReader

CRLF = b"\r\n"
HEAD_END = CRLF + CRLF
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,8}")
CHUNKED_FIELDS = (b"transfer-encoding", b"trailer", b"content-length", b"expect")


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageLimits:
    """Limits of a request.

    :param head_bytes: request line and header lines, in bytes. Clients send up to 16,384 bytes of
        headers.
    :param head_lines: number of header lines. 16,384 bytes are at most 4,096 lines.
    :param body_bytes: body, in bytes without the lines of chunks
    :param chunk_line_bytes: line with the size and the extensions of a chunk, in bytes
    :param framing_bytes: all lines of the chunks of a body, in bytes. A body of 262,144 bytes in
        chunks of one byte has 1,310,720.
    :param trailer_bytes: trailers, in bytes
    :param trailer_lines: number of trailers
    """

    body_bytes: int
    head_bytes: int = 32_768
    head_lines: int = 4_096
    chunk_line_bytes: int = 1_024
    framing_bytes: int = 2 * 1024 * 1024
    trailer_bytes: int = 16_384
    trailer_lines: int = 256


class RefusedError(Exception):
    """A request is refused before it has run.

    :ivar status: status of the refusal
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class MessageReader:
    """Reader of the requests of one connection.

    :ivar has_head: whether the head of the next request is complete
    :ivar expects_continue: whether the client waits for an interim response before it sends the
        body
    """

    def __init__(self, limits: MessageLimits) -> None:
        self._limits = limits
        self._buffer = bytearray()
        self._reset()

    def _reset(self) -> None:
        self._head = b""
        self._searched_bytes = 0
        self._length = 0
        self._chunks: _ChunkReader | None = None
        self.has_head = False
        self.expects_continue = False

    @property
    def has_started(self) -> bool:
        """Whether a part of the next request has arrived."""
        return self.has_head or bool(self._buffer)

    @property
    def size_bytes(self) -> int:
        """Number of bytes that are kept."""
        return len(self._buffer) + (len(self._chunks.body) if self._chunks else 0)

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._buffer += data

    def read_message(self) -> bytes | None:
        """Return the next request if it is complete.

        :raises RefusedError: the request exceeds a limit or is malformed
        """
        if not self.has_head and not self._read_head():
            return None
        if self._chunks is not None:
            if not self._chunks.read(self._buffer):
                return None
            body = bytes(self._chunks.body)
        else:
            if len(self._buffer) < self._length:
                return None
            body = bytes(memoryview(self._buffer)[: self._length])
            del self._buffer[: self._length]
        message = self._head + body
        if self._chunks is not None:
            length_line = b"Content-Length: %d" % len(body)
            message = CRLF.join([self._head[:-4], length_line, b"", body])
        self._reset()
        return message

    def _read_head(self) -> bool:
        buffer = self._buffer
        if buffer == CRLF[:1]:
            return False
        if buffer[:2] == CRLF and not self._searched_bytes:
            del buffer[:2]  # RFC 9112, 2.2: an empty line before the request line is ignored
        first_line_end = buffer.find(b"\n", 0, self._limits.head_bytes)
        if first_line_end == 0 or (first_line_end > 0 and buffer[first_line_end - 1] != CRLF[0]):
            raise RefusedError(HTTPStatus.BAD_REQUEST, "lines must end with CRLF")
        head_end = buffer.find(HEAD_END, max(0, self._searched_bytes - 3))
        self._searched_bytes = len(buffer)
        head_bytes = len(buffer) if head_end < 0 else head_end + len(HEAD_END)
        if head_bytes > self._limits.head_bytes:
            detail = f"the head exceeds {self._limits.head_bytes} bytes"
            raise RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, detail)
        if head_end < 0:
            return False
        self._head = bytes(buffer[:head_bytes])
        del buffer[:head_bytes]
        self.has_head = True
        self._examine_head()
        return True

    def _examine_head(self) -> None:
        if self._head.count(b"\n") - 2 > self._limits.head_lines:
            detail = f"there are more than {self._limits.head_lines} header lines"
            raise RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, detail)
        if b"\n " in self._head or b"\n\t" in self._head:
            raise RefusedError(HTTPStatus.BAD_REQUEST, "folded header lines are not supported")
        request_line, _, lines = self._head.partition(CRLF)
        try:
            # cheroot's own reader, so that both find the same length of the body.
            value_by_name: dict[bytes, bytes] = HeaderReader()(io.BytesIO(lines))
        except ValueError as error:
            raise RefusedError(HTTPStatus.BAD_REQUEST, str(error)) from error
        is_current = request_line.endswith(b" HTTP/1.1")
        self._examine_body(value_by_name, is_current=is_current)
        if value_by_name.get(b"Expect") == b"100-continue":
            self._head = _drop_fields(self._head, (b"expect",))
            self.expects_continue = is_current

    def _examine_body(self, value_by_name: dict[bytes, bytes], *, is_current: bool) -> None:
        encoding = value_by_name.get(b"Transfer-Encoding")
        length = value_by_name.get(b"Content-Length")
        if encoding is not None:
            if encoding.strip().lower() != b"chunked":
                detail = "the transfer encoding is not supported"
                raise RefusedError(HTTPStatus.NOT_IMPLEMENTED, detail)
            if length is not None or not is_current:
                # Two servers on the way could take different lengths for that of the body.
                detail = "chunks need HTTP/1.1 and no Content-Length"
                raise RefusedError(HTTPStatus.BAD_REQUEST, detail)
            self._head = _drop_fields(self._head, CHUNKED_FIELDS[:-1])
            self._chunks = _ChunkReader(self._limits)
        elif length is not None:
            if not length.isdigit() or len(length) > 18:
                raise RefusedError(HTTPStatus.BAD_REQUEST, "malformed Content-Length")
            self._length = int(length)
            _check_body_bytes(self._length, self._limits)


class _ChunkReader:
    """Decoder of a body in chunks and of its trailers.

    :ivar body: the decoded bytes
    """

    def __init__(self, limits: MessageLimits) -> None:
        self.body = bytearray()
        self._limits = limits
        self._framing_bytes = 0
        self._remaining_bytes = 0  # of the chunk
        self._is_in_chunk = False
        self._trailer_bytes = 0
        self._trailer_lines = 0
        self._is_in_trailers = False

    def read(self, buffer: bytearray) -> bool:
        """Take bytes from the start of a buffer; return whether the message is complete."""
        position = 0
        try:
            while True:
                if self._is_in_chunk:
                    next_position = self._read_chunk(buffer, position)
                elif self._is_in_trailers:
                    next_position = self._read_trailer(buffer, position)
                else:
                    next_position = self._read_chunk_line(buffer, position)
                if next_position < 0:
                    return False
                is_empty_line = next_position - position == len(CRLF)
                position = next_position
                if self._is_in_trailers and is_empty_line:
                    return True
        finally:
            del buffer[:position]

    def _read_chunk_line(self, buffer: bytearray, position: int) -> int:
        limit = self._limits.chunk_line_bytes
        end = buffer.find(b"\n", position, position + limit) + 1
        if not end:
            if len(buffer) - position >= limit:
                raise _refuse_body(f"the line of a chunk exceeds {limit} bytes")
            return -1
        self._framing_bytes += end - position + len(CRLF)
        if self._framing_bytes > self._limits.framing_bytes:
            raise _refuse_body("the chunks are too small for their number")
        size = bytes(buffer[position : end - 2]).partition(b";")[0].strip()
        if buffer[end - 2 : end] != CRLF or not CHUNK_SIZE_PATTERN.fullmatch(size):
            raise RefusedError(HTTPStatus.BAD_REQUEST, "malformed line of a chunk")
        self._remaining_bytes = int(size, 16)
        _check_body_bytes(len(self.body) + self._remaining_bytes, self._limits)
        self._is_in_chunk = self._remaining_bytes > 0
        self._is_in_trailers = not self._is_in_chunk
        return end

    def _read_chunk(self, buffer: bytearray, position: int) -> int:
        if self._remaining_bytes:
            data = memoryview(buffer)[position : position + self._remaining_bytes]
            self.body += data
            size = len(data)
            data.release()
            self._remaining_bytes -= size
            return position + size if size else -1
        if len(buffer) - position < len(CRLF):
            return -1
        if buffer[position : position + len(CRLF)] != CRLF:
            raise RefusedError(HTTPStatus.BAD_REQUEST, "a chunk does not end with CRLF")
        self._is_in_chunk = False
        return position + len(CRLF)

    def _read_trailer(self, buffer: bytearray, position: int) -> int:
        limit = self._limits.trailer_bytes - self._trailer_bytes
        end = buffer.find(b"\n", position, position + limit) + 1
        if not end:
            if len(buffer) - position >= limit:
                raise _refuse_trailers(f"they exceed {self._limits.trailer_bytes} bytes")
            return -1
        if buffer[max(position, end - 2) : end] != CRLF:
            raise RefusedError(HTTPStatus.BAD_REQUEST, "lines must end with CRLF")
        self._trailer_bytes += end - position
        self._trailer_lines += end - position > len(CRLF)
        if self._trailer_lines > self._limits.trailer_lines:
            raise _refuse_trailers(f"there are more than {self._limits.trailer_lines}")
        return end


def _check_body_bytes(size: int, limits: MessageLimits) -> None:
    if size > limits.body_bytes:
        raise _refuse_body(f"it exceeds {limits.body_bytes} bytes")


def _refuse_body(detail: str) -> RefusedError:
    return RefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: {detail}")


def _refuse_trailers(detail: str) -> RefusedError:
    return RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"trailers: {detail}")


def _drop_fields(head: bytes, names: tuple[bytes, ...]) -> bytes:
    lines = head.split(CRLF)
    kept = [line for line in lines if line.partition(b":")[0].strip().lower() not in names]
    return CRLF.join(kept)
