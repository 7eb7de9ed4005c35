"""Distribution of the configuration and membership of entries, in one process."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.memory_store import FastClock, MemoryLink, MemoryStore

from chicorycrank.adapters.codec import encode
from chicorycrank.entry import membership
from chicorycrank.entry.membership import Membership
from chicorycrank.entry.peer_links import PeerLinks
from chicorycrank.entry.process import Entry
from chicorycrank.model.config import Config
from chicorycrank.model.ids import (
    CellId,
    EntryId,
    Generation,
    Incarnation,
    Nonce,
    RegionId,
    Version,
    ZoneId,
)
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.store import Entry as StoreEntry
from chicorycrank.settings.entry import EntrySettings

scenarios("features/distribution.feature")

EVENT_LOOP_TURNS = 50


def make_document(generation: int, nonce: str) -> bytes:
    return encode(Config(generation=Generation(generation), nonce=Nonce(nonce)))


@dataclass(kw_only=True)
class EntryPair:
    """Two entries in one event loop with a link that can be closed."""

    loop: asyncio.AbstractEventLoop
    entries: dict[str, Entry] = field(default_factory=dict)

    def run(self, action: Callable[[], object], turns: int = EVENT_LOOP_TURNS) -> None:
        """Run an action on the loop and let the tasks it starts make progress."""

        async def work() -> None:
            action()
            for _ in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(work())

    def connect(self) -> None:
        """Connect both entries by a pair of links."""
        north, south = self.entries["north"], self.entries["south"]
        to_south = MemoryLink(south._make_hello(), south._handle)
        to_north = MemoryLink(north._make_hello(), north._handle)
        to_south.reverse_link, to_north.reverse_link = to_north, to_south
        for entry, link in ((north, to_south), (south, to_north)):
            peer = entry.directory.peers_by_id[EntryId(link.peer.peer_id)]
            peer.link = link  # type: ignore[assignment]

    def close_link(self) -> None:
        """Close the links in both directions."""
        for entry in self.entries.values():
            for peer in entry.directory.peers_by_id.values():
                if peer.link is not None:
                    peer.link.is_open = False  # type: ignore[misc]


def make_entry(name: str) -> Entry:
    settings = EntrySettings(
        entry=EntryId(name),
        region=RegionId(name),
        zone=ZoneId("a"),
        cell=CellId(name),
        listen_host="127.0.0.1",
        peer_port=1,
        http_port=1,
        store_url="http://127.0.0.1:1",
    )
    return Entry(settings, MemoryStore(), FastClock(), Incarnation(name))


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    yield loop
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@given('the connected entries "north" and "south"', target_fixture="pair")
def make_pair(loop: asyncio.AbstractEventLoop, monkeypatch: pytest.MonkeyPatch) -> EntryPair:
    pair = EntryPair(loop=loop)
    north, south = make_entry("north"), make_entry("south")
    pair.entries = {"north": north, "south": south}
    monkeypatch.setattr(PeerLinks, "_connect_forever", _skip_dialing)
    pair.run(lambda: north.peers.add(south.info))
    pair.run(lambda: south.peers.add(north.info))
    pair.connect()
    return pair


async def _skip_dialing(_: object, peer: object) -> None:
    return None


@when("the link is cut")
def cut_link(pair: EntryPair) -> None:
    pair.close_link()


@when("the link is restored")
def reconnect(pair: EntryPair) -> None:
    pair.connect()


@when(parsers.parse('generation {generation:d} is accepted in "{name}"'))
def accept(pair: EntryPair, generation: int, name: str) -> None:
    pair.run(lambda: pair.entries[name].config.apply_if_newer(make_document(generation, "first")))


@when(parsers.parse('generation {generation:d} is accepted in "{name}" with another nonce'))
def accept_other(pair: EntryPair, generation: int, name: str) -> None:
    pair.run(lambda: pair.entries[name].config.apply_if_newer(make_document(generation, "other")))


@when(parsers.parse("{seconds:d} s pass"))
def pass_time(pair: EntryPair, seconds: int) -> None:
    async def digest(entry: Entry) -> None:
        work = asyncio.ensure_future(entry._send_digests_forever())
        while entry._clock.monotonic() < ends_at[entry.settings.entry]:
            await asyncio.wait({work}, timeout=0)
        work.cancel()

    async def work() -> None:
        await asyncio.gather(*(digest(entry) for entry in pair.entries.values()))

    ends_at = {e.settings.entry: e._clock.monotonic() + seconds for e in pair.entries.values()}
    pair.loop.run_until_complete(work())


@when(parsers.parse('"{name}" receives a {kind} document'))
def receive(pair: EntryPair, name: str, kind: str) -> None:
    data = {
        "malformed": b"\xff\x00",
        "lower": make_document(3, "first"),
        "contradicting": make_document(4, "other"),
    }
    pair.run(lambda: pair.entries[name].config.apply_if_newer(data[kind]))


@when(parsers.parse('the record of "{name}" is removed by {way}'))
def remove_record(pair: EntryPair, name: str, way: str) -> None:
    key = f"shared/entries/{name}"
    north = pair.entries["north"]
    if way == "a full list":
        pair.run(lambda: north._on_keys_listed(frozenset({"shared/entries/north"})))
    else:
        deleted = StoreEntry(key=key, value=b"", version=Version(0))
        pair.run(lambda: north._on_key_changed(deleted))


@then(parsers.parse('"{name}" holds generation {generation:d}'))
def check_generation(pair: EntryPair, name: str, generation: int) -> None:
    assert pair.entries[name].config.config.generation == generation


@then(parsers.parse('"{name}" has counted one {kind} document'))
def check_count(pair: EntryPair, name: str, kind: str) -> None:
    assert rejected_counts(pair, name) == {k: int(k == kind) for k in rejected_counts(pair, name)}


@then(parsers.parse('"{name}" has counted at least one contradicting document'))
def check_contradiction(pair: EntryPair, name: str) -> None:
    assert rejected_counts(pair, name)["contradicting"] >= 1


def rejected_counts(pair: EntryPair, name: str) -> dict[str, int]:
    holder = pair.entries[name].config
    return {
        "malformed": holder.malformed_count,
        "lower": holder.lower_count,
        "contradicting": holder.contradiction_count,
    }


@then(parsers.parse('"north" still knows "{name}"'))
def check_known(pair: EntryPair, name: str) -> None:
    assert EntryId(name) in pair.entries["north"].directory.peers_by_id


@then(parsers.parse('"north" no longer knows "{name}"'))
def check_unknown(pair: EntryPair, name: str) -> None:
    assert EntryId(name) not in pair.entries["north"].directory.peers_by_id


@when('an entry "west" without a record dials "north"')
def dial_unlisted(pair: EntryPair) -> None:
    west, north = make_entry("west"), pair.entries["north"]
    link, reverse_link = (MemoryLink(e._make_hello(), e._handle) for e in (west, north))
    link.reverse_link, reverse_link.reverse_link = reverse_link, link
    link.wait_closed = asyncio.Event().wait  # type: ignore[attr-defined]
    pair.loop.run_until_complete(north._on_link(link))  # type: ignore[arg-type]


@then('"north" sends digests to "west"')
def check_digests(pair: EntryPair) -> None:
    pass_time(pair, 2)
    link = pair.entries["north"].directory.peers_by_id[EntryId("west")].link
    assert link is not None
    assert "Digest" in link.sent  # type: ignore[attr-defined]


# Membership of one entry in the store.


class MembershipHarness:
    """Membership of one entry on an in-memory store.

    :ivar reported_keys: keys that the watch has reported
    """

    key = "shared/entries/me"

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.store = MemoryStore()
        self.reported_keys: list[str] = []
        info = EntryInfo(
            entry_id=EntryId("me"),
            region=RegionId("north"),
            zone=ZoneId("a"),
            peer_address="127.0.0.1:1",
            http_address="127.0.0.1:2",
        )
        self.membership = Membership(
            self.store,
            FastClock(),
            info,
            on_entry=lambda entry: self.reported_keys.append(entry.key),
            on_list=lambda _: None,
        )
        self.tasks = [
            loop.create_task(self.membership.announce_forever()),
            loop.create_task(self.membership.watch_forever()),
        ]

    def settle(self, seconds: float = 0.05) -> None:
        """Let the tasks run."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def delete(self) -> None:
        """Delete the record, as the expiry of an earlier lease does."""
        self.store.entry_by_key[self.key] = StoreEntry(key=self.key, value=b"", version=Version(0))
        self.store.deleted_key = self.key


@given("an entry that has announced itself", target_fixture="harness")
def make_membership(
    loop: asyncio.AbstractEventLoop, monkeypatch: pytest.MonkeyPatch
) -> MembershipHarness:
    short = timedelta(seconds=0.05)
    monkeypatch.setattr(membership, "WATCH_TIMEOUT", short)
    monkeypatch.setattr(membership, "WATCH_MARGIN", short)
    harness = MembershipHarness(loop)
    harness.settle()
    assert harness.store.entry_by_key[harness.key].version
    return harness


@when("its record is deleted but its lease is still renewed")
def delete_record(harness: MembershipHarness) -> None:
    harness.delete()


@when("its lease has ended while it was suspended")
def end_lease(harness: MembershipHarness) -> None:
    harness.delete()
    harness.store.deleted_key = ""
    harness.store.is_lease_live = False


@when("the reply to its next announcement is lost")
def lose_announcement(harness: MembershipHarness) -> None:
    harness.store.lost_replies = 1
    harness.delete()


@when("its next announcement does not take effect")
def fail_announcement(harness: MembershipHarness) -> None:
    harness.store.failing_puts = 1
    harness.delete()


@when("its watch stops answering and the configuration changes")
def stop_watch_answers(harness: MembershipHarness) -> None:
    harness.store.is_watch_unresponsive = True
    harness.settle()
    stored = StoreEntry(
        key="shared/config", value=b"x", version=Version(harness.store.revision + 1)
    )
    harness.store.entry_by_key[stored.key] = stored
    harness.store.revision += 1
    harness.reported_keys.clear()


@when("the entry stops announcing itself and its record is deleted")
def stop_announcing(harness: MembershipHarness) -> None:
    harness.loop.run_until_complete(harness.membership.remove_record())
    harness.delete()


@then("the record is written again")
def check_record(harness: MembershipHarness) -> None:
    harness.settle()
    assert harness.store.entry_by_key[harness.key].version


@then("the record stays deleted")
def check_deleted(harness: MembershipHarness) -> None:
    harness.settle()
    assert not harness.store.entry_by_key[harness.key].version


@then("the entry sees the change")
def check_reported(harness: MembershipHarness) -> None:
    harness.settle(0.5)
    assert "shared/config" in harness.reported_keys
