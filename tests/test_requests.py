"""Outcomes of short requests under failure, tested with in-memory fakes on a manual clock."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, cast

from pytest_bdd import given, parsers, scenarios, then, when
from tests.manual_clock import ManualClock
from tests.request_fakes import FakeCluster, make_request, run_async

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.at_most_once import KEY_REUSED_DETAIL
from chicorycrank.entry.claims import SHARD_COUNT, ClaimStore
from chicorycrank.model.ids import Incarnation, Nonce, RequestKey, TargetId
from chicorycrank.model.requests import Answer, Claim, ClaimState, Outcome

scenarios("features/requests.feature")

KEY = "order-1"
LONG_RUN_S = 30.0


@given("two entries and two executors", target_fixture="cluster")
def make_cluster() -> FakeCluster:
    cluster = FakeCluster(ManualClock())
    for name in ("entry-0", "entry-1"):
        cluster.add_entry(name)
    for name in ("exec-0", "exec-1"):
        cluster.add_agent(name)
    # The second entry prefers the other executor, so only the claim can prevent a second run.
    cluster.directory_by_id["entry-1"].targets_by_id[TargetId("exec-0")].in_flight = 1
    return cluster


@given(parsers.parse('the failure "{failure}"'), target_fixture="failure")
def choose_failure(failure: str) -> str:
    return failure


def inject_failure(cluster: FakeCluster, failure: str) -> None:
    """Inject a failure; link faults apply to exec-0, which is chosen first."""
    link, agents = cluster.link("entry-0", "exec-0"), list(cluster.agent_by_id.values())
    match failure:
        case "store reply lost" | "store reply and re-read lost":
            cluster.store.lost_replies = 1
        case "store slower than the deadline":
            cluster.store.write_delay_s = 12.0
        case "store down at first":
            cluster.store.is_down = True
        case "request lost" | "request delayed" | "reply lost" | "answer of another attempt":
            link.faults = [failure]
        case "connection lost during the run":
            link.faults = ["connection lost after delivery"]
        case "entry suspended between claim and dispatch":
            link.next_send_delay_s = 5.0
        case "entry resumed after the deadline":
            link.next_send_delay_s = 15.0
        case "answer truncated":
            agents[0].truncations_left = 1
        case "first run fails":
            agents[0].failures_left = 1
        case "all executors fail":
            agents[0].failures_left = agents[1].failures_left = 1000
        case "first executor refuses":
            agents[0].refusal_code = "draining"
        case "all executors refuse" | "all executors refuse at first":
            agents[0].refusal_code = agents[1].refusal_code = "draining"
        case "request runs beyond the deadline":
            agents[0].service_time_s = LONG_RUN_S
        case _ if failure in RESTART_FAILURES:
            agents[0].service_time_s = 1.0


async def inject_during_request(
    cluster: FakeCluster, failure: str, task: "asyncio.Task[Answer]"
) -> None:
    """Inject the part of a failure that occurs while the first request is running."""
    first = cluster.agent_by_id["exec-0"]
    if failure == "store reply and re-read lost":
        await wait_for(cluster, lambda: cluster.store.write_count == 1)
        cluster.store.lost_reads = 1
    elif failure == "entry killed after the claim":
        cluster.link("entry-0", "exec-0").next_send_delay_s = LONG_RUN_S
        await wait_for(cluster, lambda: cluster.store.write_count == 1)
        await sleep(cluster, 1.0)
        task.cancel()
    elif failure == "entry killed after the dispatch":
        await wait_for(cluster, lambda: first.used_slots == 1)
        task.cancel()
    elif failure == "store down before the outcome":
        await wait_for(cluster, lambda: first.used_slots == 1)
        cluster.store.is_down = True
    elif failure in RESTART_FAILURES:
        await wait_for(cluster, lambda: first.used_slots == 1)
        first.restart()
        if failure.startswith("entry"):
            task.cancel()
        if failure == "agent lost during the run":
            cluster.link("entry-0", "exec-0").is_open = False
        else:
            cluster.connect("exec-0")


async def sleep(cluster: FakeCluster, seconds: float) -> None:
    await cluster.clock.sleep(timedelta(seconds=seconds))


async def wait_for(cluster: FakeCluster, condition: Callable[[], bool]) -> None:
    while not condition():
        await sleep(cluster, 0.001)


RESTART_FAILURES = (
    "agent restarts during the run",
    "agent lost during the run",
    "entry killed and agent restarted",
)
OVERLAPPING_FAILURES = (
    "entry suspended between claim and dispatch",
    "entry resumed after the deadline",
    "both sent at the same time",
)


async def await_answer(task: Awaitable[Answer]) -> Answer | None:
    try:
        return await task
    except asyncio.CancelledError:
        return None


@when(
    "a non-repeatable request is sent, and again through the other entry", target_fixture="answers"
)
def send_twice(cluster: FakeCluster, failure: str) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        inject_failure(cluster, failure)
        first = cluster.send("entry-0", make_request(KEY))
        await inject_during_request(cluster, failure, first)
        if failure in OVERLAPPING_FAILURES:
            await sleep(cluster, 0.0 if failure == "both sent at the same time" else 0.5)
            second = cluster.send("entry-1", make_request(KEY))
            return [await await_answer(first), await await_answer(second)]
        answers = [await await_answer(first)]
        cluster.store.is_down = False
        cluster.store.write_delay_s = 0.0
        if failure == "all executors refuse at first":
            for agent in cluster.agent_by_id.values():
                agent.refusal_code = ""
        answers.append(await await_answer(cluster.send("entry-1", make_request(KEY))))
        await sleep(cluster, 20.0)  # delayed messages arrive
        return answers

    return run_async(cluster.clock.run(work()))


@when("a repeatable request is sent", target_fixture="answers")
def send_repeatable(cluster: FakeCluster, failure: str) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        inject_failure(cluster, failure)
        task = cluster.send("entry-0", make_request(KEY, repeatable=True))
        await inject_during_request(cluster, failure, task)
        answer = await await_answer(task)
        await sleep(cluster, 20.0)
        return [answer]

    return run_async(cluster.clock.run(work()))


@when(
    "a non-repeatable request is sent, and its key again with another body",
    target_fixture="answers",
)
def send_other_body(cluster: FakeCluster) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        first = await cluster.send("entry-0", make_request(KEY))
        second = await cluster.send("entry-1", make_request(KEY, body=b'{"tiles":2}'))
        assert second.detail == KEY_REUSED_DETAIL
        return [first, second]

    return run_async(cluster.clock.run(work()))


@then(parsers.parse('the outcomes are "{first}" and "{second}"'))
def check_outcomes(answers: list[Answer | None], first: str, second: str) -> None:
    names = [answer.outcome.value if answer else "killed" for answer in answers]
    assert names == [first, second], answers


@then(parsers.parse('its outcome is "{outcome}"'))
def check_outcome(answers: list[Answer | None], outcome: str) -> None:
    check_outcomes([*answers, *answers], outcome, outcome)


@then("a retried request is answered from its claim at once")
def check_answered_from_claim(cluster: FakeCluster) -> None:
    async def work() -> Answer | None:
        return await await_answer(cluster.send("entry-1", make_request(KEY)))

    started_at_s = cluster.clock.monotonic()
    answer = run_async(cluster.clock.run(work()))
    assert answer is not None and answer.outcome is Outcome.UNKNOWN
    assert cluster.clock.monotonic() - started_at_s < 0.1


@then(parsers.re(r"the executors have run the request (?P<runs>\d+) times"))
def check_runs(cluster: FakeCluster, runs: str) -> None:
    assert cluster.count_runs(KEY) == int(runs)


@then("a completed answer carries its own key")
def check_key(answers: list[Answer | None]) -> None:
    bodies = [a.body for a in answers if a is not None and a.outcome is Outcome.COMPLETED]
    assert all(body == b'{"key":"order-1"}' for body in bodies), bodies


@when("two entries write claims of one shard while replies are lost", target_fixture="keys")
def write_claims(cluster: FakeCluster) -> list[str]:
    number = zlib.crc32(KEY.encode()) % SHARD_COUNT
    keys = [
        k for k in (f"k{i}" for i in range(5000)) if zlib.crc32(k.encode()) % SHARD_COUNT == number
    ]

    async def work() -> None:
        claim_store = ClaimStore(cast(Any, cluster.store), cluster.clock)
        for index, key in enumerate(keys):
            cluster.store.lost_replies = 1
            first = asyncio.ensure_future(claim_store.put(make_claim(key), expected=None))
            other = make_claim(f"{key}#{index}")
            # Another entry writes between the write whose reply is lost and the following read.
            await wait_for(cluster, lambda: cluster.store.lost_replies == 0)
            stored = cluster.store.entry_by_key[f"claims/{number}"]
            changed_value = add_claim(stored.value, other)
            cluster.store.entry_by_key[stored.key] = type(stored)(
                key=stored.key,
                value=changed_value,
                version=type(stored.version)(stored.version + 1),
            )
            await first

    run_async(cluster.clock.run(work()))
    return [k for i, key in enumerate(keys) for k in (key, f"{key}#{i}")]


@then("every claim is in the store")
def check_claims(cluster: FakeCluster, keys: list[str]) -> None:
    number = zlib.crc32(KEY.encode()) % SHARD_COUNT
    claims = decode(cluster.store.entry_by_key[f"claims/{number}"].value, list[Claim])
    assert sorted(claim.key for claim in claims) == sorted(keys)


def add_claim(value: bytes, claim: Claim) -> bytes:
    return encode([*decode(value, list[Claim]), claim])


def make_claim(key: str) -> Claim:
    return Claim(
        key=RequestKey(key),
        nonce=Nonce(f"nonce-{key}"),
        target=TargetId("exec-0"),
        incarnation=Incarnation("exec-0.1"),
        state=ClaimState.CLAIMED,
        claimed_at=1000.0,
    )
