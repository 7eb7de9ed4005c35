"""Disturbances of entries and agents as processes, judged by what executors and callers saw."""

import signal
import time
from collections.abc import Callable
from functools import partial

import pytest
from tests.incident.scenario import Job, submit, wait_until

from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.platform.heartbeats import Message
from chicorycrank_standin.soak.deployment import Deployment, restart_killed

START_TIMEOUT_S = 10.0
TASK_COUNT = 3
WORK_S = 5.0
DRAIN_S = 9.0  # the work ends before the executor does
RESTART_DELAY_S = 0.3
REFUSAL_S = 1.5
FINISH_TIMEOUT_S = 25.0
# Bounds of the platform: a cancelled job starts nothing and runs nothing after these times.
CANCEL_S = 3.0
STOP_S = 0.4
SILENCE_S = 1.0
ENDLESS_WORK_S = 60.0


def leave_undisturbed(job: Job) -> None:
    pass


def restart_agent_beside_draining_executor(job: Job) -> None:
    index = job.executor_index()
    executor, agent = job.deployment.executors[index], job.deployment.agents[index]
    executor.drain(DRAIN_S)
    wait_until(lambda: executor.draining_since is not None, START_TIMEOUT_S)
    agent.signal(signal.SIGTERM)
    assert agent.wait(START_TIMEOUT_S)
    time.sleep(RESTART_DELAY_S)
    agent.start()


def refuse_connections(job: Job, *, is_both_ways: bool) -> None:
    executor = job.executor()
    assert executor.link is not None
    links = [executor.link]
    if is_both_ways:
        links.append(job.deployment.control_links[job.executor_index()])
    heartbeats = executor.heartbeats.acknowledged
    wait_until(lambda: executor.heartbeats.acknowledged > heartbeats, START_TIMEOUT_S)
    for link in links:
        link.set_mode(Mode.CUT)
    time.sleep(REFUSAL_S)
    for link in links:
        link.set_mode(Mode.PASS)


def send_heartbeat_of_another_writer(job: Job, *, service: str) -> None:
    executor = job.executor()
    fields = executor.heartbeat_fields()
    later = {**fields, "service": service, "born": fields["born"] + 60_000, "seq": 1}
    executor.heartbeats.send(Message.heartbeat("i-other", later))


def send_exit_notice_of_an_earlier_life(job: Job) -> None:
    executor = job.executor()
    executor.heartbeats.send(Message(instance=executor.instance, body=None))


def send_heartbeat_of_an_earlier_life_to_a_restarted_agent(job: Job, *, instance: str) -> None:
    index = job.executor_index()
    executor, agent = job.deployment.executors[index], job.deployment.agents[index]
    fields = executor.heartbeat_fields()
    earlier = {**fields, "born": fields["born"] - 60_000, "seq": 900}
    message = Message.heartbeat(instance or executor.instance, earlier)
    executor.heartbeats.is_held = True
    restart_killed(agent)
    wait_until(lambda: executor.heartbeats.send(message), START_TIMEOUT_S)
    executor.heartbeats.is_held = False


@pytest.mark.parametrize(
    "disturb",
    [
        pytest.param(leave_undisturbed, id="undisturbed"),
        pytest.param(restart_agent_beside_draining_executor, id="agent-restarts-beside-drain"),
        pytest.param(partial(refuse_connections, is_both_ways=False), id="port-refuses"),
        pytest.param(partial(refuse_connections, is_both_ways=True), id="port-refuses-both-ways"),
        pytest.param(
            partial(send_heartbeat_of_another_writer, service="service"), id="other-executor"
        ),
        pytest.param(
            partial(send_heartbeat_of_another_writer, service="unknown"), id="other-service"
        ),
        pytest.param(send_exit_notice_of_an_earlier_life, id="exit-notice-of-an-earlier-life"),
        pytest.param(
            partial(send_heartbeat_of_an_earlier_life_to_a_restarted_agent, instance=""),
            id="heartbeat-of-an-earlier-life",
        ),
        pytest.param(
            partial(send_heartbeat_of_an_earlier_life_to_a_restarted_agent, instance="i-earlier"),
            id="heartbeat-of-an-earlier-life-with-another-id",
        ),
    ],
)
def test_a_task_that_still_runs_does_not_start_a_second_time(
    deployment: Deployment, disturb: Callable[[Job], None]
) -> None:
    """Guards against an agent that reports runs as ended while its executor has them."""
    job = submit(deployment, deployment.entries[0], 1, tasks=TASK_COUNT, work_s=WORK_S)
    wait_until(lambda: len(job.runs()) == TASK_COUNT, START_TIMEOUT_S)
    disturb(job)
    wait_until(
        lambda: job.state() == "completed" or bool(deployment.run_recorder.violations),
        FINISH_TIMEOUT_S,
    )
    assert deployment.run_recorder.violations == []
    wait_until(lambda: all(run.is_end_seen for run in job.runs()), START_TIMEOUT_S)
    assert [run.end_kind for run in job.runs()] == ["done"] * TASK_COUNT


def test_a_job_that_is_cancelled_while_watches_are_silent_does_not_run(
    deployment: Deployment,
) -> None:
    """Guards against a leader that applies a cancellation before it knows the job."""
    with deployment.store.compacting():
        silent_until = time.monotonic() + SILENCE_S
        jobs = [
            submit(deployment, entry, number, tasks=1, work_s=ENDLESS_WORK_S)
            for number, entry in enumerate(deployment.entries)
        ]
        limit_by_job = {job.job_id: job.cancel() + CANCEL_S for job in jobs}
        time.sleep(max(0.0, silent_until - time.monotonic()))
    wait_until(
        lambda: time.monotonic() > max(limit_by_job.values()) + STOP_S,
        CANCEL_S + STOP_S + START_TIMEOUT_S,
    )
    for job in jobs:
        limit = limit_by_job[job.job_id]
        late_starts = [run for run in job.runs() if run.started_at > limit]
        late_ends = [
            run for run in job.runs() if run.ended_at is None or run.ended_at > limit + STOP_S
        ]
        assert (late_starts, late_ends) == ([], []), f"accepted by {job.entry.name}"
