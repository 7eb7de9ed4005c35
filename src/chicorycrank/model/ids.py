"""Identifier types."""

from typing import NewType

TeamId = NewType("TeamId", str)
JobId = NewType("JobId", str)
RegionId = NewType("RegionId", str)
ZoneId = NewType("ZoneId", str)
RackId = NewType("RackId", str)
CellId = NewType("CellId", str)
TargetId = NewType("TargetId", str)
EntryId = NewType("EntryId", str)
ServiceId = NewType("ServiceId", str)
GuaranteeId = NewType("GuaranteeId", str)
RequestKey = NewType("RequestKey", str)
AttemptId = NewType("AttemptId", str)
Incarnation = NewType("Incarnation", str)
Nonce = NewType("Nonce", str)
Epoch = NewType("Epoch", int)
Generation = NewType("Generation", int)
Version = NewType("Version", int)
