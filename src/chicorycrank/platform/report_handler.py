"""HTTP handler for the reports that an executor sends to the agent on its machine."""

import logging
from http import HTTPStatus

from chicorycrank.batch.agent import BatchAgent
from chicorycrank.platform.documents import DocumentError
from chicorycrank.platform.executor_reports import decode_report
from chicorycrank.platform.server import Request, Response

INSTANCES_PATH = "/-/instances/"

logger = logging.getLogger("absl")


class ExecutorReportHandler:
    """Handler that decodes the calls of an executor and passes them on to the agent."""

    def __init__(self, agent: BatchAgent) -> None:
        self._agent = agent

    def handle(self, request: Request) -> Response:
        """Handle a call and return its response."""
        if not request.path.startswith(INSTANCES_PATH):
            return Response(HTTPStatus.NOT_FOUND)
        executor = request.path.removeprefix(INSTANCES_PATH)
        if request.method == "DELETE":
            self._agent.record_executor_exit(executor)
            return Response(HTTPStatus.OK)
        if request.method != "PUT":
            return Response(HTTPStatus.METHOD_NOT_ALLOWED)
        try:
            numbered_report = decode_report(executor, request.body)
        except DocumentError as error:
            logger.warning("event=executor_report_unreadable error=%s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        self._agent.apply_heartbeat(
            numbered_report.report,
            number=numbered_report.number,
            started_at_ms=numbered_report.started_at_ms,
            clock_ms=numbered_report.clock_ms,
        )
        return Response(HTTPStatus.OK)
