"""Lease times that agents and the leader have to agree on, in seconds.

An agent extends the lease of its executor only if the store confirmed the agent's presence at most
``MAX_CONFIRMATION_AGE_S`` ago. The leader can therefore determine when nothing is running any more
on a worker whose presence has expired.
"""

# Work that is assigned to a worker just after its agent lost the connection waits until the
# presence has expired.
PRESENCE_LEASE_S = 2.0
PRESENCE_RENEWAL_INTERVAL_S = 0.7
# Work survives outages and network partitions of 12 s. With a shorter time, the leader would start
# work a second time beside a machine that is suspended for that long, as a suspension stops the
# executor's clock.
MAX_CONFIRMATION_AGE_S = 14.0
# The executor ends all its runs when this lease expires; a restarting agent is back within 2 s.
EXECUTOR_LEASE_S = 5.0
# Share by which the executor's clock may be slower than real time.
MAX_CLOCK_DRIFT = 0.02
LOSS_MARGIN_S = 0.4
# Time within which the leader learns that a presence was restored and stops reassigning its work.
PRESENCE_RESUME_DELAY_S = 1.0


def executor_lease_s(max_lease_s: float) -> float:
    """Return the lease that agents grant, which is shorter than the executor's limit."""
    return min(EXECUTOR_LEASE_S, 0.8 * max_lease_s)


def lost_after_s(max_lease_s: float) -> float:
    """Return the time from the expiry of a presence until the executor runs nothing."""
    return (
        MAX_CONFIRMATION_AGE_S
        + executor_lease_s(max_lease_s) * (1 + MAX_CLOCK_DRIFT)
        + LOSS_MARGIN_S
    )
