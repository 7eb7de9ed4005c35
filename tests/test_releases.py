"""Releases: findings, concurrent releases and lost replies of the store."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

# Imported before the timed test, which would otherwise import it when it reports a finding.
import json5.loader  # noqa: F401
import pytest
from hypothesis import example
from hypothesis import given as given_values
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when
from tests.memory_store import FastClock, MemoryStore

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.config_holder import ConfigHolder
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

REGION = RegionId("north")
BASE = '"release": "r", "author": "ann", "written_against": 1'
START = Config(
    generation=Generation(1),
    nonce=Nonce("start"),
    teams={TeamId("claims"): Team()},
    guarantees={
        GuaranteeId("claims-big"): Guarantee(
            team=TeamId("claims"), region=REGION, shape=GangShape(members=1, accelerators=1)
        )
    },
)


@dataclass(kw_only=True)
class ReleaseHarness:
    """Store, and entries that apply releases to it."""

    store: MemoryStore = field(default_factory=MemoryStore)
    replies: list[ReleaseReply] = field(default_factory=list)

    def releases(self) -> Releases:
        """Return the release handler of an entry that has just started."""
        return Releases(self.store, FastClock(), ConfigHolder(lambda _: None), collect_targets)

    def apply(self, text: str) -> None:
        """Apply a note and append the reply."""
        self.replies.append(asyncio.run(self.releases().apply(text, "r.jsonc")))

    def config(self) -> Config:
        """Return the configuration that is in the store."""
        return decode(self.store.entry_by_key[CONFIG_KEY].value, Config)


async def collect_targets() -> Fleet:
    info = WorkerInfo(rack=RackId("r"), accelerators=8, cores=1, memory_gb=1)
    targets = tuple(
        TargetInfo(
            TargetId(name),
            TargetKind.WORKER,
            REGION,
            ZoneId("a"),
            Generation(1),
            False,
            True,
            worker=info,
        )
        for name in ("w1", "w2")
    )
    answer = TargetList(EntryId("e"), REGION, Generation(1), Nonce("start"), targets)
    return Fleet(lists=(answer,), unreachable=())


def make_note(author: str, team: str, *, written_against: int = 1) -> str:
    head = {"release": f"add-{team}", "author": author, "written_against": written_against}
    return json.dumps(head | {"added": {"teams": {team: {}}}})


@given('a store with the team "claims" and its guarantee "claims-big"', target_fixture="harness")
def make_harness() -> ReleaseHarness:
    harness = ReleaseHarness()
    harness.store.entry_by_key[CONFIG_KEY] = Entry(
        key=CONFIG_KEY, value=encode(START), version=Version(7)
    )
    harness.store.revision = 7
    return harness


@given(
    parsers.parse(
        '"{author}" applies a release that adds the team "{team}" just before the next write'
    )
)
def plan_other_release(harness: ReleaseHarness, author: str, team: str) -> None:
    harness.store.before_put = lambda: harness.releases().apply(
        make_note(author, team), "other.jsonc"
    )


@given(parsers.parse("the store will {fault}"))
def plan_fault(harness: ReleaseHarness, fault: str) -> None:
    store = harness.store
    match fault:
        case "write once without a reply":
            store.lost_replies = 1
        case "write once without a reply, then another release is written":
            other_note = make_note("bea", "renders", written_against=2)
            store.lost_replies = 1
            store.after_lost = lambda: harness.releases().apply(other_note, "other.jsonc")
        case "fail once":
            store.failing_puts = 1
        case "fail for 60 s":
            store.failing_puts = 120
        case "be down":
            store.is_down = True
        case _:
            raise ValueError(fault)


@when(parsers.parse("the note {note} is applied"))
def apply_text(harness: ReleaseHarness, note: str) -> None:
    harness.apply(note.replace("BASE", BASE))


@when(parsers.parse('"{author}" applies a release that adds the team "{team}"'))
def apply_note(harness: ReleaseHarness, author: str, team: str) -> None:
    harness.apply(make_note(author, team))


@then(parsers.parse('the answer is "{result}"'))
def check_answer(harness: ReleaseHarness, result: str) -> None:
    assert harness.replies[-1].result.value == result, harness.replies[-1]


@then(parsers.parse("the findings are {findings}"))
def check_findings(harness: ReleaseHarness, findings: str) -> None:
    found = [f"{f.line}:{f.column} {f.text}" for f in harness.replies[-1].findings]
    expected = findings.split("; ")
    assert len(found) == len(expected), found
    for actual_text, expected_text in zip(found, expected, strict=True):
        assert actual_text.startswith(expected_text), found
    assert all(f.remedy and f.file == "r.jsonc" for f in harness.replies[-1].findings)


@then(parsers.parse('the changes name "{key}" by "{author}"'))
def check_changes(harness: ReleaseHarness, key: str, author: str) -> None:
    changes = harness.replies[-1].changes
    assert [(change.author, change.keys) for change in changes] == [(author, (key,))]


@then(parsers.parse("the store holds generation {generation:d}"))
def check_generation(harness: ReleaseHarness, generation: int) -> None:
    assert harness.config().generation == generation


@then(parsers.parse("the store took {writes:d} writes"))
def check_writes(harness: ReleaseHarness, writes: int) -> None:
    assert harness.store.put_count == writes


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


# "teams" is a list instead of an object, and there is a second finding.
@example('{"added": {"": null, "teams": []}}')
@given_values(
    st.text(max_size=60)
    | VALUES.map(json.dumps)
    | st.tuples(VALUES.map(json.dumps), st.integers(0, 80)).map(lambda pair: pair[0][: pair[1]])
)
@example('{"added":{"":null,"teams":[]}}')
@pytest.mark.parametrize("read", [lambda text: read_release(text, "f", START), read_any_job])
def test_any_text_is_read_or_gives_located_findings(read: Any, text: str) -> None:
    """Guards against a reader that raises, or whose findings lack a location or a remedy."""
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
    """Guards against a deeply nested note that exhausts the stack of the entry."""
    result = read_release("[" * depth + "]" * depth, "f")
    assert result.is_error()
