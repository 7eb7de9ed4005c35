"""Times that agents and the leader have to agree on, in seconds.

An agent extends the lease of its executor while its own presence in the store was confirmed not
longer than ``AUTHORITY_S`` ago. The leader therefore knows when nothing can be running on a
worker that it does not hear of.
"""

# Work that is given to a worker whose agent was just cut off waits until the presence has ended.
PRESENCE_LEASE_S = 2.0
PRESENCE_RENEWAL_INTERVAL_S = 0.7
# Work survives outages and cuts of 12 s. A shorter time would let the leader start work again
# beside a machine that is suspended for that long, whose executor's clock stands still.
MAX_CONFIRMATION_AGE_S = 14.0
# An agent that restarts is back within 2 s; the executor ends everything after this time.
EXECUTOR_LEASE_S = 5.0
# The executor's clock may be this much slower than real time.
MAX_CLOCK_DRIFT = 0.02
LOSS_MARGIN_S = 0.4
# The leader hears of a presence that is back, and stops giving its work away, within this time.
PRESENCE_RESUME_DELAY_S = 1.0


def executor_lease_s(max_lease_s: float) -> float:
    """Return the lease that agents give, below what the executor allows."""
    return min(EXECUTOR_LEASE_S, 0.8 * max_lease_s)


def lost_after_s(max_lease_s: float) -> float:
    """Return the time after an agent's presence ended at which its executor runs nothing."""
    return (
        MAX_CONFIRMATION_AGE_S
        + executor_lease_s(max_lease_s) * (1 + MAX_CLOCK_DRIFT)
        + LOSS_MARGIN_S
    )
