"""Reports of the executor to the agent on its machine."""

import logging
from http import HTTPStatus

from chicorycrank.batch.agent import BatchAgent
from chicorycrank.platform.documents import DocumentError, decode_beat
from chicorycrank.platform.server import Request, Response

INSTANCES = "/-/instances/"

logger = logging.getLogger("absl")


class Control:
    """Translates an executor's calls for the agent."""

    def __init__(self, agent: BatchAgent) -> None:
        self._agent = agent

    def handle(self, request: Request) -> Response:
        """Answer a call."""
        if not request.path.startswith(INSTANCES):
            return Response(HTTPStatus.NOT_FOUND)
        executor = request.path.removeprefix(INSTANCES)
        if request.method == "DELETE":
            self._agent.put_leave(executor)
            return Response(HTTPStatus.OK)
        if request.method != "PUT":
            return Response(HTTPStatus.METHOD_NOT_ALLOWED)
        try:
            beat = decode_beat(executor, request.body)
        except DocumentError as error:
            logger.warning("event=beat_unreadable error=%s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        self._agent.put_beat(
            beat.report, number=beat.number, born_ms=beat.born_ms, clock_ms=beat.clock_ms
        )
        return Response(HTTPStatus.OK)
