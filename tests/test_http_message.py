"""Incremental reader of HTTP requests: complete messages, refusals and the ends of messages."""

import itertools
from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorycrank.adapters.http_message import MessageLimits, MessageReader, RefusedError

LIMITS = MessageLimits(
    body_bytes=20,
    head_bytes=200,
    head_lines=4,
    chunk_line_bytes=16,
    framing_bytes=60,
    trailer_bytes=40,
    trailer_lines=2,
)
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
DECODED = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s"
BY_LENGTH = b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
GET = b"GET / HTTP/1.1\r\n\r\n"

MESSAGES = [
    ("without a body", GET, GET),
    ("behind an empty line", b"\r\n" + GET, GET),
    ("by length", BY_LENGTH, BY_LENGTH),
    ("chunks", CHUNKED + b"2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", DECODED % (3, b"abc")),
    ("trailers", CHUNKED + b"1\r\na\r\n0\r\nA: b\r\nC: d\r\n\r\n", DECODED % (1, b"a")),
    ("no chunk", CHUNKED + b"0\r\n\r\n", DECODED % (0, b"")),
    ("largest body", CHUNKED + b"14\r\n%b\r\n0\r\n\r\n" % (b"a" * 20), DECODED % (20, b"a" * 20)),
    (
        "expects an interim response",
        b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na",
    ),
]


@pytest.mark.parametrize(("data", "message"), [row[1:] for row in MESSAGES])
@given(cuts=st.lists(st.integers(0, 150)))
def test_a_message_is_read_whole_however_it_is_cut(
    data: bytes, message: bytes, cuts: list[int]
) -> None:
    """Guards against a state of the reader that is lost between two reads."""
    reader = MessageReader(LIMITS)
    positions = [0, *sorted(cuts), len(data) + len(GET)]
    found = []
    for start, end in itertools.pairwise(positions):
        reader.feed((data + GET)[start:end])
        while (next_message := reader.read_message()) is not None:
            found.append(next_message)
    assert found == [message, GET]
    assert not reader.has_started
    assert reader.size_bytes == 0


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /" + b"a" * 200, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 200, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (
            b"GET / HTTP/1.1\r\n%b\r\n" % (b"A: b\r\n" * 5),
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n", HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (CHUNKED + b"15\r\n", HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (CHUNKED + b"14\r\n%b\r\n1\r\n" % (b"a" * 20), HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (CHUNKED + b"1" + b";a" * 10, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (CHUNKED + b"1\r\na\r\n" * 13, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
        (CHUNKED + b"0\r\nA: " + b"b" * 40, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (CHUNKED + b"0\r\n" + b"A: b\r\n" * 3, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (CHUNKED + b"-1\r\n", HTTPStatus.BAD_REQUEST),
        (CHUNKED + b"1\r\nabc", HTTPStatus.BAD_REQUEST),
        (CHUNKED + b"0\r\nA: b\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\nHost: a\n\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\r\nnothing\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (CHUNKED[:-2] + b"Content-Length: 1\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (CHUNKED.replace(b"1.1", b"1.0"), HTTPStatus.BAD_REQUEST),
        (CHUNKED.replace(b"chunked", b"gzip"), HTTPStatus.NOT_IMPLEMENTED),
    ],
)
@given(cuts=st.lists(st.integers(0, 150)))
def test_a_message_beyond_the_limits_is_refused(
    data: bytes, status: HTTPStatus, cuts: list[int]
) -> None:
    """Guards against a limit that a client evades by the size of its writes."""
    reader = MessageReader(LIMITS)
    positions = [0, *sorted(cuts), len(data)]
    with pytest.raises(RefusedError) as refusal:
        for start, end in itertools.pairwise(positions):
            reader.feed(data[start:end])
            assert reader.read_message() is None
    assert refusal.value.status is status
