"""Handler for the read-only call that asks where a job would go now."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from msgspec import Struct

from chicorycrank.batch.view import SharedView
from chicorycrank.batch.where_calls import NotAnsweredError
from chicorycrank.model.batch import Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.platform.documents import DocumentError, decode_job
from chicorycrank.platform.server import Request, Response
from chicorycrank.policy.where import PlacementAnswer

# Returns the answer of this entry's planner; None if this entry does not lead.
Ask = Callable[[Submission], tuple[PlacementAnswer, ...] | None]


class _Call(Struct, forbid_unknown_fields=True):
    """Body of the call.

    :param queue: name of the queue
    :param team: name of the team; empty for an anonymous caller
    :param job: body of a submission
    """

    queue: str
    job: msgspec.Raw
    team: str = ""


def answer_where(request: Request, view: SharedView, ask: Ask) -> Response:
    """Answer where the job in a call would go now, or which entry leads."""
    if request.method != "POST":
        return Response(HTTPStatus.METHOD_NOT_ALLOWED)
    with view.lock:
        config, leader = view.config.config, view.leader
    try:
        call = msgspec.json.decode(request.body, type=_Call)
        queue = next(
            (queue for queue in (config.queues if config else ()) if queue.queue_id == call.queue),
            None,
        )
        if queue is None:
            return _response({"error": f"no queue {call.queue}"}, HTTPStatus.NOT_FOUND)
        teams = {team.team for team in config.teams} if config else set()
        if call.team not in teams and (call.team or not queue.anonymous):
            return _response({"error": f"no team {call.team}"}, HTTPStatus.NOT_FOUND)
        job = decode_job(
            bytes(call.job), job_id=JobId(""), queue=queue, team=TeamId(call.team), now_ms=0
        )
    except (msgspec.DecodeError, DocumentError) as error:
        return _response({"error": str(error)}, HTTPStatus.BAD_REQUEST)
    try:
        answer = ask(job)
    except NotAnsweredError as error:
        return _response({"error": str(error)}, HTTPStatus.SERVICE_UNAVAILABLE)
    if answer is None:
        document = {"error": "this entry does not lead", "leader": leader.entry if leader else None}
        return _response(document, HTTPStatus.MISDIRECTED_REQUEST)
    return _response({"steps": answer}, HTTPStatus.OK)


def _response(document: object, status: HTTPStatus) -> Response:
    return Response(status, msgspec.json.encode(document))
