"""Choice of a cell for a job that names no region."""

import asyncio
from datetime import timedelta

import pytest
from tests.scheduler_fakes import FakeStore, ManualClock, make_spec

from chicorycrank.entry.cell_binding import CellBinding
from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import CellId, EntryId, Epoch, GuaranteeId, RegionId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.model.messages import CellLoad
from chicorycrank.policy.cell_choice import choose_cell
from chicorycrank.ports.store import LeaseId, StoreError

Load = tuple[int, int, tuple[str, ...]]


def test_key_keeps_its_cell() -> None:
    """Guards against a second job if one key is sent to entries that see different loads."""
    clock = ManualClock()
    store = FakeStore(clock)
    team = TeamId("claims")

    async def bind(key: str, wanted: str, *, loses_reply: bool = False) -> str:
        store.loses_reply = lambda _: loses_reply
        return await CellBinding(store).bind(team, key, CellId(wanted))

    async def run() -> None:
        assert await bind("k", "north") == await bind("k", "south") == "north"
        assert (
            await bind("lost", "north", loses_reply=True) == await bind("lost", "south") == "north"
        )
        grant_lease = store.grant_lease
        other_cell: list[str] = []

        async def bind_from_other_entry(ttl: timedelta) -> LeaseId:
            if not other_cell:
                other_cell.append("")
                other_cell[0] = await bind("race", "south")
            return await grant_lease(ttl)

        store.grant_lease = bind_from_other_entry  # type: ignore[method-assign]
        assert await bind("race", "north") == other_cell[0] == "south"
        store.is_down = True
        with pytest.raises(StoreError):
            await bind("k", "south")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("north", "south", "chosen"),
    [
        ((0, 9, ("claims-8",)), (64, 0, ()), "north"),
        ((0, 9, ("mills-8",)), (64, 0, ()), "south"),
        ((16, 5, ()), (8, 0, ()), "north"),
        ((4, 5, ()), (0, 2, ()), "south"),
        ((8, 2, ()), (8, 1, ()), "south"),
    ],
)
def test_cell_choice(north: Load, south: Load, chosen: str) -> None:
    """Guards against a job that waits in one cell while another cell has capacity for its team."""
    shape = GangShape(members=1, accelerators=8)
    guarantees = {
        GuaranteeId(f"{team}-8"): Guarantee(
            team=TeamId(team), region=RegionId("north"), shape=shape
        )
        for team in ("claims", "mills")
    }
    loads = [
        CellLoad(
            CellId(name), Epoch(1), EntryId("e"), free, 0, queued, tuple(map(GuaranteeId, ids))
        )
        for name, (free, queued, ids) in (("north", north), ("south", south))
    ]
    assert choose_cell(make_spec(), loads, guarantees) == chosen
    assert choose_cell(make_spec(), loads[::-1], guarantees) == chosen
