"""Releases: findings, racing operators and lost replies of the store."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import json5.loader  # noqa: F401  # loaded before the timed test, which loads it on a finding
import pytest
from hypothesis import example
from hypothesis import given as given_values
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when
from tests.memory_store import FastClock, MemoryStore

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.config import ConfigHolder
from chicorycrank.entry.fleet_view import Fleet
from chicorycrank.entry.releases import CONFIG_KEY, ReleaseReply, Releases
from chicorycrank.model.config import Config, Guarantee, Team
from chicorycrank.model.ids import (
    EntryId,
    Generation,
    GuaranteeId,
    Nonce,
    RackId,
    RegionId,
    TargetId,
    TeamId,
    Version,
    ZoneId,
)
from chicorycrank.model.jobs import GangShape
from chicorycrank.model.messages import TargetInfo, TargetList
from chicorycrank.model.targets import TargetKind, WorkerInfo
from chicorycrank.ports.store import Entry
from chicorycrank.settings.job import read_job
from chicorycrank.settings.release import read_release

scenarios("features/releases.feature")

NORTH = RegionId("north")
BASE = '"release": "r", "author": "ann", "written_against": 1'
START = Config(
    generation=Generation(1),
    nonce=Nonce("start"),
    teams={TeamId("claims"): Team()},
    guarantees={
        GuaranteeId("claims-big"): Guarantee(
            team=TeamId("claims"), region=NORTH, shape=GangShape(members=1, accelerators=1)
        )
    },
)


@dataclass(kw_only=True)
class Bench:
    """A store and two entries that apply releases to it."""

    store: MemoryStore = field(default_factory=MemoryStore)
    replies: list[ReleaseReply] = field(default_factory=list)

    def releases(self) -> Releases:
        """Return the releases of an entry that has just started."""
        return Releases(self.store, FastClock(), ConfigHolder(lambda _: None), collect)

    def apply(self, text: str) -> None:
        """Apply a note and keep the reply."""
        self.replies.append(asyncio.run(self.releases().apply(text, "r.jsonc")))

    def config(self) -> Config:
        """Return what the store holds."""
        return decode(self.store.value_by_key[CONFIG_KEY].value, Config)


async def collect() -> Fleet:
    info = WorkerInfo(rack=RackId("r"), accelerators=8, cores=1, memory_gb=1)
    targets = tuple(
        TargetInfo(
            TargetId(name),
            TargetKind.WORKER,
            NORTH,
            ZoneId("a"),
            Generation(1),
            False,
            True,
            worker=info,
        )
        for name in ("w1", "w2")
    )
    answer = TargetList(EntryId("e"), NORTH, Generation(1), Nonce("start"), targets)
    return Fleet(lists=(answer,), unreachable=())


def note_of(author: str, team: str, *, written_against: int = 1) -> str:
    head = {"release": f"add-{team}", "author": author, "written_against": written_against}
    return json.dumps(head | {"added": {"teams": {team: {}}}})


@given('a store with the team "claims" and its guarantee "claims-big"', target_fixture="bench")
def make_bench() -> Bench:
    bench = Bench()
    bench.store.value_by_key[CONFIG_KEY] = Entry(
        key=CONFIG_KEY, value=encode(START), version=Version(7)
    )
    bench.store.revision = 7
    return bench


@given(
    parsers.parse(
        '"{author}" applies a release that adds the team "{team}" just before the next write'
    )
)
def plan_rival(bench: Bench, author: str, team: str) -> None:
    bench.store.before_put = lambda: bench.releases().apply(note_of(author, team), "rival.jsonc")


@given(parsers.parse("the store will {fault}"))
def plan_fault(bench: Bench, fault: str) -> None:
    store = bench.store
    match fault:
        case "write once without a reply":
            store.lost = 1
        case "write once without a reply, then a rival wins":
            rival = note_of("bea", "renders", written_against=2)
            store.lost = 1
            store.after_lost = lambda: bench.releases().apply(rival, "rival.jsonc")
        case "fail once":
            store.failed = 1
        case "fail for 60 s":
            store.failed = 120
        case "be down":
            store.is_down = True
        case _:
            raise ValueError(fault)


@when(parsers.parse("the note {note} is applied"))
def apply_text(bench: Bench, note: str) -> None:
    bench.apply(note.replace("BASE", BASE))


@when(parsers.parse('"{author}" applies a release that adds the team "{team}"'))
def apply_note(bench: Bench, author: str, team: str) -> None:
    bench.apply(note_of(author, team))


@then(parsers.parse('the answer is "{result}"'))
def check_answer(bench: Bench, result: str) -> None:
    assert bench.replies[-1].result.value == result, bench.replies[-1]


@then(parsers.parse("the findings are {findings}"))
def check_findings(bench: Bench, findings: str) -> None:
    found = [f"{f.line}:{f.column} {f.text}" for f in bench.replies[-1].findings]
    wanted = findings.split("; ")
    assert len(found) == len(wanted), found
    for have, want in zip(found, wanted, strict=True):
        assert have.startswith(want), found
    assert all(f.remedy and f.file == "r.jsonc" for f in bench.replies[-1].findings)


@then(parsers.parse('the changes name "{key}" by "{author}"'))
def check_changes(bench: Bench, key: str, author: str) -> None:
    changes = bench.replies[-1].changes
    assert [(change.author, change.keys) for change in changes] == [(author, (key,))]


@then(parsers.parse("the store holds generation {generation:d}"))
def check_generation(bench: Bench, generation: int) -> None:
    assert bench.config().generation == generation


@then(parsers.parse("the store took {writes:d} writes"))
def check_writes(bench: Bench, writes: int) -> None:
    assert bench.store.puts == writes


def read_any_job(text: str) -> Any:
    return read_job(text, "f")


JOB_FIELDS = ["team", "name", "shape", "members", "accelerators", "adjacency", "run_time_s"]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "release",
                    "author",
                    "added",
                    "teams",
                    "weight",
                    "guarantees",
                    "x",
                    "",
                    *JOB_FIELDS,
                ]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


# A list of objects to add, beside another finding.
@example('{"added": {"": null, "teams": []}}')
@given_values(
    st.text(max_size=60)
    | VALUES.map(json.dumps)
    | st.tuples(VALUES.map(json.dumps), st.integers(0, 80)).map(lambda pair: pair[0][: pair[1]])
)
@example('{"added":{"":null,"teams":[]}}')
@pytest.mark.parametrize("read", [lambda text: read_release(text, "f", START), read_any_job])
def test_any_text_is_read_or_gives_located_findings(read: Any, text: str) -> None:
    """Guards against a reader that raises, or refuses without saying where and what to do."""
    result = read(text)
    if result.is_error():
        assert result.error
        lines = text.split("\n")
        for finding in result.error:
            assert 1 <= finding.line <= len(lines)
            assert 1 <= finding.column <= len(lines[finding.line - 1]) + 1
            assert finding.text
            assert finding.remedy


@pytest.mark.parametrize("depth", [40, 5000])
def test_deep_nesting_is_a_finding(depth: int) -> None:
    """Guards against a note that exhausts the stack of an entry."""
    result = read_release("[" * depth + "]" * depth, "f")
    assert result.is_error()
