"""Serve the HTTP resources of operators: releases, configuration, teams, targets and state."""

import json
from http import HTTPStatus

import cherrypy
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client.registry import Collector

from chicorycrank.entry.fleet_view import Fleet, make_release_status
from chicorycrank.entry.http_common import LoopBridge, send_json, send_problem
from chicorycrank.entry.metrics import render_metrics, take_snapshot
from chicorycrank.entry.process import Entry
from chicorycrank.entry.releases import WRITE_RESOLUTION_TIMEOUT_S, ReleaseReply, ReleaseResult
from chicorycrank.model.config import Config
from chicorycrank.model.ids import TargetId
from chicorycrank.model.messages import AnyMessage, Ok, Refused, SetDraining, TargetInfo, Text
from chicorycrank.model.requests import Outcome

RETRY_AFTER_S = 2
FILE_HEADER = "X-Release-File"
DEFAULT_FILE = "release.jsonc"
STATUS_BY_RESULT = {
    ReleaseResult.FINDINGS: (HTTPStatus.UNPROCESSABLE_ENTITY, Outcome.NOT_RUN),
    ReleaseResult.CONFLICT: (HTTPStatus.CONFLICT, Outcome.NOT_RUN),
    ReleaseResult.NOT_RUN: (HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN),
    ReleaseResult.UNKNOWN: (HTTPStatus.GATEWAY_TIMEOUT, Outcome.UNKNOWN),
}


class DrainBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/targets/<id>/drain``."""

    draining: bool


class OperationsResource:
    """HTTP resources of operators."""

    def __init__(self, entry: Entry, bridge: LoopBridge) -> None:
        self._entry = entry
        self._bridge = bridge

    # Releases, configuration and teams.

    def apply_release(self) -> bytes:
        """Apply the release note in the body."""
        return self._handle_release(is_check=False)

    def check_release(self) -> bytes:
        """Check the release note in the body without applying it."""
        return self._handle_release(is_check=True)

    def _handle_release(self, *, is_check: bool) -> bytes:
        try:
            text = cherrypy.request.body.read().decode("utf-8")
        except UnicodeDecodeError as error:
            detail = f"the release is not UTF-8 at byte {error.start}"
            return send_problem(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, detail)
        file_name = cherrypy.request.headers.get(FILE_HEADER, DEFAULT_FILE)
        releases = self._entry.releases
        coroutine = releases.check(text, file_name) if is_check else releases.apply(text, file_name)
        return _send_release(self._bridge.call(coroutine, timeout_s=WRITE_RESOLUTION_TIMEOUT_S))

    def get_release_status(self) -> bytes:
        """Return the generation in force in each region and process."""
        return send_json(self._bridge.call(self._release_status()))

    async def _release_status(self) -> dict[str, object]:
        entry = self._entry
        fleet = await entry.fleet.list_all_targets()
        peers = list(entry.directory.peers_by_id.values())
        return make_release_status(fleet, entry.config, entry.settings.entry, peers)

    def get_config(self) -> bytes:
        """Return the configuration in force."""
        return send_json(msgspec.to_builtins(self._bridge.call(self._read_config())))

    async def _read_config(self) -> Config:
        return self._entry.config.config

    def get_teams(self) -> bytes:
        """Return the teams and their guarantees."""
        config = self._bridge.call(self._read_config())
        teams = [
            {
                "team": team_id,
                **msgspec.to_builtins(team),
                "guarantees": {
                    key: msgspec.to_builtins(guarantee)
                    for key, guarantee in config.guarantees.items()
                    if guarantee.team == team_id
                },
            }
            for team_id, team in sorted(config.teams.items())
        ]
        return send_json({"generation": config.generation, "teams": teams})

    # List and drain targets.

    def get_targets(self) -> bytes:
        """Return the targets of all regions."""
        fleet: Fleet = self._bridge.call(self._entry.fleet.list_all_targets())
        targets = [_to_document(target) for target in fleet.targets()]
        return send_json({"targets": targets, "unreachable_regions": fleet.unreachable})

    def drain_target(self, target: TargetId) -> bytes:
        """Start or end the draining of a target."""
        try:
            body = msgspec.json.decode(cherrypy.request.body.read(), type=DrainBody)
        except msgspec.DecodeError as error:
            detail = f'{error}; send {{"draining": true}} or {{"draining": false}}'
            return send_problem(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, detail)
        message = SetDraining(target, body.draining)
        reply = self._bridge.call(self._entry.fleet.set_draining(message))
        if isinstance(reply, Ok):
            return send_json({"target": target, "draining": body.draining})
        return _send_refusal(reply)

    # State and metrics.

    def get_state(self, process: str) -> bytes:
        """Return the state of a process, or of this entry if ``process`` is empty."""
        reply = self._bridge.call(self._entry.state.get(process))
        if isinstance(reply, Text):
            return send_json(json.loads(reply.text))
        return _send_refusal(reply)

    def get_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        body = render_metrics(self._bridge.call(self._collect_metrics()))
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return body

    async def _collect_metrics(self) -> Collector:
        await self._entry.agent_counters.refresh()
        return take_snapshot(self._entry, self._entry.store)


def _to_document(target: TargetInfo) -> dict[str, object]:
    return {name: msgspec.to_builtins(getattr(target, name)) for name in target.__struct_fields__}


def _send_release(reply: ReleaseReply) -> bytes:
    if reply.result is ReleaseResult.ACCEPTED:
        return send_json(
            {
                "result": reply.result.value,
                "generation": reply.generation,
                "keys": reply.keys,
                "detail": reply.detail,
            }
        )
    status, outcome = STATUS_BY_RESULT[reply.result]
    if reply.result is ReleaseResult.NOT_RUN:
        cherrypy.response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return send_problem(
        status,
        outcome,
        reply.detail,
        result=reply.result.value,
        generation=reply.generation,
        findings=[vars(finding) for finding in reply.findings],
        changes=[msgspec.to_builtins(change) for change in reply.changes],
    )


def _send_refusal(reply: AnyMessage) -> bytes:
    if not isinstance(reply, Refused):
        detail = "the process sent an unexpected reply"
        return send_problem(HTTPStatus.BAD_GATEWAY, Outcome.UNKNOWN, detail)
    detail = reply.detail or reply.code
    if reply.code.startswith("no_such"):
        return send_problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, detail, code=reply.code)
    outcome = Outcome.UNKNOWN if reply.code == "no_reply" else Outcome.NOT_RUN
    return send_problem(HTTPStatus.SERVICE_UNAVAILABLE, outcome, detail, code=reply.code)
