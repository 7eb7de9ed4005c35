"""Use of the platform's wire names outside of its adapter."""

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "chicorycrank"
# Names that only the platform's protocol uses, without general words such as "task".
WIRE_NAMES = (
    "kv-txn",
    "kv-watch",
    "kv-range",
    "run-start",
    "run-stop",
    "lastSeen",
    "fencingToken",
    "deadlineMs",
    "memMb",
    "estimatedMs",
    "antiAffinity",
    "maxAttempts",
    "apiKeys",
    "slackFactor",
    "bindAddresses",
    "currentRev",
    "heartbeatMs",
    "coldRemainingMs",
    "op/config",
    "/-/",
)


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_wire_names_occur_only_in_the_adapter(name: str) -> None:
    """Guards against code outside of the adapter that depends on the platform's protocol."""
    pattern = re.compile(re.escape(name))
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts and pattern.search(path.read_text("utf-8"))
    ]
    assert found == []
