"""Prometheus metrics of the batch programs."""

from prometheus_client import Counter, Gauge, Histogram, generate_latest

# Local calls take about 1 ms, calls across regions 40 ms and calls to a slow store 500 ms.
CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
WAIT_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)

CALLS = Counter("chicorycrank_calls", "Calls of callers", ["operation", "outcome"])
CALL_SECONDS = Histogram(
    "chicorycrank_call_seconds", "Time of a caller's call", ["operation"], buckets=CALL_BUCKETS_S
)
STORE_CALLS = Counter("chicorycrank_store_calls", "Calls to the store", ["operation", "result"])
STORE_SECONDS = Histogram(
    "chicorycrank_store_seconds", "Time of a store call", ["operation"], buckets=CALL_BUCKETS_S
)
UNITS_STARTED = Counter("chicorycrank_units_started", "Units given to workers")
STARTS_PREVENTED = Counter(
    "chicorycrank_starts_prevented", "Jobs that the store knew to be cancelled when they started"
)
UNITS_STOPPED = Counter("chicorycrank_units_stopped", "Units stopped before their end", ["cause"])
TASKS_ENDED = Counter("chicorycrank_tasks_ended", "Ends of runs", ["kind"])
JOBS_ENDED = Counter("chicorycrank_jobs_ended", "Jobs that ended", ["state"])
JOBS_FAILED = Counter("chicorycrank_jobs_failed", "Jobs that failed", ["cause"])
JOBS_SET_ASIDE = Counter(
    "chicorycrank_jobs_set_aside", "Jobs left out of planning, as planning them failed"
)
EXECUTOR_CRASHES = Counter(
    "chicorycrank_executor_crashes", "Crashes of executors that had runs", ["kind"]
)
WORKERS_LOST = Counter(
    "chicorycrank_workers_lost",
    "Workers whose work was to be reassigned as their agents were missing",
    ["result"],
)
WAIT_SECONDS = Histogram(
    "chicorycrank_job_wait_seconds",
    "Time from acceptance to the first start",
    buckets=WAIT_BUCKETS_S,
)
PLAN_SECONDS = Histogram(
    "chicorycrank_plan_seconds", "Time of a phase of a plan", ["phase"], buckets=CALL_BUCKETS_S
)
SLOW_WORKERS = Gauge(
    "chicorycrank_slow_workers", "Workers that urgent jobs use last, as they are slower"
)
STANDING_RESERVATIONS = Gauge(
    "chicorycrank_standing_reservations", "Late urgent units that hold reserved accelerators"
)
IS_LEADER = Gauge("chicorycrank_is_leader", "1 while this entry has the leader role")
CONFIG_VERSION = Gauge("chicorycrank_config_version", "Version of the configuration in force")
EVACUATED_ZONES = Gauge("chicorycrank_evacuated_zones", "Zones that the operator has evacuated")
WORKERS_FLAPPING = Gauge(
    "chicorycrank_workers_flapping",
    "Workers that get only work that loses little, as their executors were down repeatedly",
)
EXECUTORS_ENDED = Counter(
    "chicorycrank_executors_ended", "Ends of incarnations of an agent's executor", ["how"]
)
HEARTBEATS_IGNORED = Counter(
    "chicorycrank_heartbeats_ignored", "Heartbeats that an agent did not apply", ["reason"]
)
REPORTS_WRITTEN = Counter("chicorycrank_reports_written", "Reports that an agent has written")
RATES_RECORDED = Counter(
    "chicorycrank_rates_recorded", "Rates of runs from which the leader learns speeds of workers"
)
WORKERS_BY_SPEED = Gauge(
    "chicorycrank_workers_by_speed", "Workers of known speed, relative to the median", ["speed"]
)
INTERFERENCE_PAIRS = Gauge(
    "chicorycrank_interference_pairs", "Pairs of workloads that the leader keeps apart"
)
INTERFERENCE_SLOW_DOWN = Gauge(
    "chicorycrank_interference_slow_down",
    "Factor by which a neighbour on the same worker slows a workload down",
    ["workload", "neighbour"],
)
RUNS_STALLED = Counter("chicorycrank_runs_stalled", "Runs that an agent has found without progress")
RATES_REPORTED = Counter("chicorycrank_rates_reported", "Rates of runs that an agent has reported")
ADMISSIONS = Counter(
    "chicorycrank_admissions", "Decisions on new jobs while a load summary is in force", ["verdict"]
)
LOAD_SUMMARIES = Counter(
    "chicorycrank_load_summaries", "Load summaries published or removed by this leader", ["change"]
)
LOAD_WAIT = Gauge(
    "chicorycrank_load_wait_seconds",
    "Work that waits, by the time that the whole fleet needs for it",
    ["priority"],
)
LOG_LINES_DROPPED = Gauge("chicorycrank_log_lines_dropped", "Log lines dropped so far")


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest()
