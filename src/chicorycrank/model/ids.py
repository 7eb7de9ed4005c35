"""Types of identifiers and version numbers."""

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
# Identifies one start of a process or executor, which keeps its other ids across restarts.
Incarnation = NewType("Incarnation", str)
# Unique to one write or claim; shows after a lost reply whether the write or claim was applied.
Nonce = NewType("Nonce", str)
# Orders the leaders of a cell; agents refuse calls of an epoch lower than the highest known.
Epoch = NewType("Epoch", int)
# Number of a version of the configuration or of a job record; each change raises it by one.
Generation = NewType("Generation", int)
# Version of a value in the store; 0 means that the key does not exist.
Version = NewType("Version", int)
QueueId = NewType("QueueId", str)
# Id of a batch task: ``<job id>.<occurrence>.<step>.<index of the task>``.
TaskId = NewType("TaskId", str)
StepKey = NewType("StepKey", str)
MachineId = NewType("MachineId", str)
Workload = NewType("Workload", str)  # what the tasks of a step run
