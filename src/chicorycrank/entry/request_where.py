"""Explanation of which executor a request would get now, and the reason against each other one."""

from collections.abc import Sequence

from chicorycrank.entry.directory import Target
from chicorycrank.model.ids import ServiceId
from chicorycrank.model.jobs import MemberPlacement
from chicorycrank.policy.routing import BreakerState, TargetView
from chicorycrank.policy.where import PlacementAnswer, RejectedWorker, make_answer

STARTS_NOW = "starts_now"


def explain_request(
    service: ServiceId,
    targets: Sequence[tuple[Target, TargetView, str]],
    chosen: Target | None,
    *,
    is_queued: bool,
) -> PlacementAnswer:
    """Return the answer for a request of a service.

    :param targets: the connected executors with their load and why they are no candidates, if so
    :param chosen: executor that a request gets if no other is queued ahead
    :param is_queued: whether other requests are queued ahead
    """
    rejected = [
        _reject(target, view, reason)
        for target, view, reason in sorted(targets, key=lambda item: item[0].target_id)
        if target is not chosen or is_queued
    ]
    placement = None
    if is_queued:
        cause = "queued_ahead"
    elif chosen is not None:
        cause, placement = STARTS_NOW, [MemberPlacement(chosen.target_id, ())]
    else:
        cause = "no_executor" if all(reason for _, _, reason in targets) else "no_room"
    return make_answer(service, cause=cause, placement=placement, evictions=(), rejected=rejected)


def _reject(target: Target, view: TargetView, reason: str) -> RejectedWorker:
    detail = ""
    if not reason:
        if view.state is BreakerState.OPEN:
            reason, detail = "breaker-open", f"{view.failure_share:.0%} of its requests failed"
        elif not view.is_free:
            reason, detail = "no-slot", f"{view.in_flight} of {view.capacity} in use by this entry"
        elif view.state is BreakerState.HALF_OPEN:
            reason = "probing" if view.is_probing else "breaker-half-open"
        else:
            reason, detail = "not-chosen", f"latency {view.latency_s:.3f} s"
    return RejectedWorker(worker=target.target_id, reason=reason, detail=detail)
