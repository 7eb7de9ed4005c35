"""Outcomes of short requests under failure, against in-memory fakes on a manual clock."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, cast

from pytest_bdd import given, parsers, scenarios, then, when
from tests.jumping_clock import ManualClock
from tests.request_fakes import World, make_request, run_world

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.claims import SHARD_COUNT, ClaimStore
from chicorycrank.entry.once import KEY_REUSED_DETAIL
from chicorycrank.model.ids import Incarnation, Nonce, RequestKey, TargetId
from chicorycrank.model.requests import Answer, Claim, ClaimState, Outcome

scenarios("features/requests.feature")

KEY = "order-1"
LONG_RUN_S = 30.0


@given("two entries and two executors", target_fixture="world")
def make_world() -> World:
    world = World(ManualClock())
    for name in ("entry-0", "entry-1"):
        world.add_entry(name)
    for name in ("exec-0", "exec-1"):
        world.add_agent(name)
    # The second entry prefers the other executor, so that only the claim prevents a second run.
    world.directory_by_id["entry-1"].targets_by_id[TargetId("exec-0")].in_flight = 1
    return world


@given(parsers.parse('the failure "{failure}"'), target_fixture="failure")
def choose_failure(failure: str) -> str:
    return failure


def inject(world: World, failure: str) -> None:
    """Switch a failure on; link faults hit the first executor chosen, exec-0."""
    link, agents = world.link("entry-0", "exec-0"), list(world.agent_by_id.values())
    match failure:
        case "store reply lost" | "store reply and re-read lost":
            world.store.lost_replies = 1
        case "store slower than the deadline":
            world.store.write_delay_s = 12.0
        case "store down at first":
            world.store.is_down = True
        case "request lost" | "request late" | "reply lost" | "foreign answer":
            link.faults = [failure]
        case "connection silent during the run":
            link.faults = ["reply lost at once"]
        case "entry frozen between claim and dispatch":
            link.pause_s = 5.0
        case "thawed after the deadline":
            link.pause_s = 15.0
        case "answer cut":
            agents[0].cut = 1
        case "order fails":
            agents[0].fails = 1
        case "all executors fail":
            agents[0].fails = agents[1].fails = 1000
        case "first executor refuses":
            agents[0].refusal = "draining"
        case "all executors refuse" | "all executors refuse at first":
            agents[0].refusal = agents[1].refusal = "draining"
        case "order runs beyond the deadline":
            agents[0].service_s = LONG_RUN_S
        case _ if failure in RESTARTS:
            agents[0].service_s = 1.0


async def during(world: World, failure: str, task: "asyncio.Task[Answer]") -> None:
    """Let the part of a failure happen that falls into the first request's time."""
    first = world.agent_by_id["exec-0"]
    if failure == "store reply and re-read lost":
        await wait_for(world, lambda: world.store.writes == 1)
        world.store.lost_reads = 1
    elif failure == "entry dies after the claim":
        world.link("entry-0", "exec-0").pause_s = LONG_RUN_S
        await wait_for(world, lambda: world.store.writes == 1)
        await sleep(world, 1.0)
        task.cancel()
    elif failure == "entry dies after the dispatch":
        await wait_for(world, lambda: first.used == 1)
        task.cancel()
    elif failure == "store down before the outcome":
        await wait_for(world, lambda: first.used == 1)
        world.store.is_down = True
    elif failure in RESTARTS:
        await wait_for(world, lambda: first.used == 1)
        first.restart()
        if failure.startswith("entry"):
            task.cancel()
        if failure == "agent gone during the run":
            world.link("entry-0", "exec-0").is_open = False
        else:
            world.connect("exec-0")


async def sleep(world: World, seconds: float) -> None:
    await world.clock.sleep(timedelta(seconds=seconds))


async def wait_for(world: World, condition: Callable[[], bool]) -> None:
    while not condition():
        await sleep(world, 0.001)


RESTARTS = (
    "agent restarts during the run",
    "agent gone during the run",
    "entry dies and agent restarts",
)
OVERLAPPING = (
    "entry frozen between claim and dispatch",
    "thawed after the deadline",
    "both at the same time",
)


async def outcome_of(task: Awaitable[Answer]) -> Answer | None:
    try:
        return await task
    except asyncio.CancelledError:
        return None


@when("an order is sent, and again through the other entry", target_fixture="answers")
def send_twice(world: World, failure: str) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        inject(world, failure)
        first = world.send("entry-0", make_request(KEY))
        await during(world, failure, first)
        if failure in OVERLAPPING:
            await sleep(world, 0.0 if failure == "both at the same time" else 0.5)
            second = world.send("entry-1", make_request(KEY))
            return [await outcome_of(first), await outcome_of(second)]
        answers = [await outcome_of(first)]
        world.store.is_down = False
        world.store.write_delay_s = 0.0
        if failure == "all executors refuse at first":
            for agent in world.agent_by_id.values():
                agent.refusal = ""
        answers.append(await outcome_of(world.send("entry-1", make_request(KEY))))
        await sleep(world, 20.0)  # late messages arrive
        return answers

    return run_world(world.clock.run(work()))


@when("a scan is sent", target_fixture="answers")
def send_scan(world: World, failure: str) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        inject(world, failure)
        task = world.send("entry-0", make_request(KEY, repeatable=True))
        await during(world, failure, task)
        answer = await outcome_of(task)
        await sleep(world, 20.0)
        return [answer]

    return run_world(world.clock.run(work()))


@when("an order is sent, and its key again with another body", target_fixture="answers")
def send_other_body(world: World) -> list[Answer | None]:
    async def work() -> list[Answer | None]:
        first = await world.send("entry-0", make_request(KEY))
        second = await world.send("entry-1", make_request(KEY, body=b'{"tiles":2}'))
        assert second.detail == KEY_REUSED_DETAIL
        return [first, second]

    return run_world(world.clock.run(work()))


@then(parsers.parse('the outcomes are "{first}" and "{second}"'))
def check_outcomes(answers: list[Answer | None], first: str, second: str) -> None:
    names = [answer.outcome.value if answer else "died" for answer in answers]
    assert names == [first, second], answers


@then(parsers.parse('its outcome is "{outcome}"'))
def check_outcome(answers: list[Answer | None], outcome: str) -> None:
    check_outcomes([*answers, *answers], outcome, outcome)


@then("a retried order is answered from its claim at once")
def check_claim(world: World) -> None:
    async def work() -> Answer | None:
        return await outcome_of(world.send("entry-1", make_request(KEY)))

    before = world.clock.monotonic()
    answer = run_world(world.clock.run(work()))
    assert answer is not None and answer.outcome is Outcome.UNKNOWN
    assert world.clock.monotonic() - before < 0.1


@then(parsers.re(r"the executors have run the \w+ (?P<runs>\d+) times"))
def check_runs(world: World, runs: str) -> None:
    assert world.runs(KEY) == int(runs)


@then("a completed order carries its own key")
def check_key(answers: list[Answer | None]) -> None:
    bodies = [a.body for a in answers if a is not None and a.outcome is Outcome.COMPLETED]
    assert all(body == b'{"key":"order-1"}' for body in bodies), bodies


@when("two entries write claims of one shard while replies are lost", target_fixture="keys")
def write_claims(world: World) -> list[str]:
    number = zlib.crc32(KEY.encode()) % SHARD_COUNT
    keys = [
        k for k in (f"k{i}" for i in range(5000)) if zlib.crc32(k.encode()) % SHARD_COUNT == number
    ]

    async def work() -> None:
        log = ClaimStore(cast(Any, world.store), world.clock)
        for index, key in enumerate(keys):
            world.store.lost_replies = 1
            first = asyncio.ensure_future(log.put(make_claim(key), expected=None))
            other = make_claim(f"{key}#{index}")
            # The other entry writes between the lost write and the re-read.
            await wait_for(world, lambda: world.store.lost_replies == 0)
            entry = world.store.entry_by_key[f"claims/{number}"]
            foreign = add_claim(entry.value, other)
            world.store.entry_by_key[entry.key] = type(entry)(
                key=entry.key, value=foreign, version=type(entry.version)(entry.version + 1)
            )
            await first

    run_world(world.clock.run(work()))
    return [k for i, key in enumerate(keys) for k in (key, f"{key}#{i}")]


@then("every claim is in the store")
def check_claims(world: World, keys: list[str]) -> None:
    number = zlib.crc32(KEY.encode()) % SHARD_COUNT
    claims = decode(world.store.entry_by_key[f"claims/{number}"].value, list[Claim])
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
