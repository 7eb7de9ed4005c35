"""Reservations at one worker's agent in virtual time."""

import asyncio
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.fakes.gangs import JOB_ID, Cluster, reserve
from tests.virtual_time import VirtualLoop

from chicorycrank.model.ids import Epoch
from chicorycrank.model.messages import AnyMessage, CancelReservation, Refused

scenarios("features/worker_manager.feature")


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    loop = VirtualLoop()

    async def make() -> Cluster:
        return Cluster(loop, 1)

    cluster = loop.run_until_complete(make())
    yield cluster
    cluster.kill_agent(cluster.nodes[0])
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


def send(cluster: Cluster, message: AnyMessage) -> AnyMessage:
    return cluster.loop.run_until_complete(cluster.send(cluster.nodes[0], message))


def wait(cluster: Cluster, seconds: float) -> None:
    cluster.loop.run_until_complete(asyncio.sleep(seconds))


@given("a worker's agent with accelerators 0-3, 40 cores and 200 GB reserved in epoch 5")
def make_agent_with_reservation(cluster: Cluster) -> None:
    wait(cluster, 0.1)
    send(cluster, reserve(0, (0, 1, 2, 3), epoch=5, cores=40, memory_gb=200))


@given(parsers.parse("a worker's agent that {state}"))
def make_agent_in_state(cluster: Cluster, state: str) -> None:
    node = cluster.nodes[0]
    if state == "has not read the worker's task list":
        cluster.kill_agent(node)
        node.worker.is_unreachable = True
        cluster.loop.call_soon(cluster.start_agent, node)
    wait(cluster, 0.1)
    assert node.worker_manager is not None
    node.worker_manager.is_draining = state == "drains"
    node.worker.is_unreachable |= state == "cannot reach its worker"
    wait(cluster, 5.0)


@when(
    parsers.parse(
        "{accelerators} with {cores:d} cores and {memory_gb:d} GB are reserved "
        'in epoch {epoch:d} for job "{job}"'
    ),
    target_fixture="answer",
)
def try_reserve(
    cluster: Cluster, accelerators: str, cores: int, memory_gb: int, epoch: int, job: str
) -> AnyMessage:
    wanted = tuple(int(number) for number in accelerators.split(","))
    return send(cluster, reserve(0, wanted, epoch=epoch, job=job, cores=cores, memory_gb=memory_gb))


@then(parsers.parse('the answer is "{wanted}"'))
def check_answer(answer: AnyMessage, wanted: str) -> None:
    name = answer.code if isinstance(answer, Refused) else type(answer).__name__
    assert name == wanted


@when(parsers.parse("{seconds:d} s pass"))
def wait_seconds(cluster: Cluster, seconds: int) -> None:
    wait(cluster, seconds)


@when(parsers.parse("the leader of epoch {epoch:d} cancels it"))
def cancel(cluster: Cluster, epoch: int) -> None:
    send(cluster, CancelReservation(Epoch(epoch), JOB_ID, 1))


@then(parsers.parse("8 accelerators, 64 cores and 250 GB can be reserved: {free}"))
def check_free(cluster: Cluster, free: str) -> None:
    message = reserve(0, tuple(range(8)), epoch=5, job="job-2", cores=64, memory_gb=250)
    assert isinstance(send(cluster, message), Refused) == (free == "no")
