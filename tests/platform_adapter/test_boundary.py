"""The platform's names stay in the adapter."""

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "chicorycrank"
# Names that only the platform uses; general words such as "task" are not among them.
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
def test_only_the_adapter_knows_the_platforms_names(name: str) -> None:
    """Guards against a product that has to change whenever the platform's wire changes."""
    pattern = re.compile(re.escape(name))
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.parts and pattern.search(path.read_text("utf-8"))
    ]
    assert found == []
