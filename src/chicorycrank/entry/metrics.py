"""Collect the Prometheus metrics of this entry and of the agents connected to it."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from chicorycrank.adapters.http_counters import CLOSED_CONNECTIONS, REFUSED_REQUESTS
from chicorycrank.entry.process import Entry
from chicorycrank.entry.state import missing_by_guarantee
from chicorycrank.ports.store import Store


@dataclass(frozen=True, eq=False)  # the registry requires a hashable collector
class _MetricsSnapshot(Collector):
    """Metrics that were collected on the event loop."""

    metrics: tuple[Metric, ...]

    def collect(self) -> Iterator[Metric]:
        """Iterate over the metrics."""
        return iter(self.metrics)


def take_snapshot(entry: Entry, store: Store) -> Collector:
    """Collect all metrics; must be called on the event loop."""
    metrics = [
        *_request_metrics(entry),
        *_job_metrics(entry),
        *_store_metrics(store),
        *_config_metrics(entry),
        *_connection_metrics(entry),
    ]
    return _MetricsSnapshot(tuple(metrics))


def render_metrics(snapshot: Collector) -> bytes:
    """Return metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(snapshot)
    registry.register(REFUSED_REQUESTS)
    registry.register(CLOSED_CONNECTIONS)
    return generate_latest(registry)


def _request_metrics(entry: Entry) -> Iterator[Metric]:
    family = CounterMetricFamily(
        "chicorycrank_requests", "Requests answered.", labels=["outcome", "class"]
    )
    for (outcome, request_class), count in entry.requests.count_by_outcome_and_class.items():
        family.add_metric([outcome.value, request_class.value], count)
    yield family
    queued = GaugeMetricFamily(
        "chicorycrank_requests_queued", "Requests waiting for an executor.", labels=["class"]
    )
    for queued_class, length in entry.requests.queued_by_class.items():
        queued.add_metric([queued_class.value], length)
    yield queued
    yield _counter(
        "answers_dropped",
        "Answers of executors that were not passed on.",
        "reason",
        entry.requests.dropped_by_reason,
    )
    yield _counter(
        "forwarded_bytes",
        "Bytes of request bodies sent to other regions.",
        "region",
        entry.requests.forwarded_bytes_by_region,
    )


def _job_metrics(entry: Entry) -> Iterator[Metric]:
    family = GaugeMetricFamily(
        "chicorycrank_jobs", "Job records of the cell that this entry leads.", labels=["state"]
    )
    if entry.scheduler.is_leader:
        counts = Counter(record.state for record in entry.scheduler.list_records(""))
        for state, count in counts.items():
            family.add_metric([state.value], count)
    yield family
    longest_waits = GaugeMetricFamily(
        "chicorycrank_job_longest_wait_seconds",
        "Wait of the oldest queued job of the led cell that has never run.",
        labels=["urgent"],
    )
    if entry.scheduler.is_leader:
        for label, urgent in (("yes", True), ("no", False)):
            longest_waits.add_metric([label], entry.scheduler.jobs.longest_wait_s(urgent=urgent))
    yield longest_waits
    yield _gauge(
        "guarantees_degraded",
        "Instances of guarantees that the led cell cannot assemble now.",
        sum(missing_by_guarantee(entry.scheduler).values()),
    )
    yield _gauge(
        "workers_quarantined",
        "Workers of the led cell that get no work because they fail it.",
        len(entry.scheduler.quarantine.quarantined_by_worker) if entry.scheduler.is_leader else 0,
    )
    yield _gauge("leader", "1 while this entry leads its cell.", entry.scheduler.is_leader)
    yield _gauge("term_epoch", "Epoch of this entry's term; 0 without one.", entry.term_epoch)
    yield _gauge(
        "leader_epoch",
        "Highest epoch that a connected worker's agent has reported.",
        max((t.worker_epoch for t in entry.directory.workers()), default=0),
    )


def _store_metrics(store: Store) -> Iterator[Metric]:
    calls = getattr(store, "calls_by_operation", {})
    yield _counter("store_calls", "Calls to the store.", "operation", calls)
    yield CounterMetricFamily(
        "chicorycrank_store_errors",
        "Calls to the store that got no usable answer.",
        value=getattr(store, "errors", 0),
    )


def _config_metrics(entry: Entry) -> Iterator[Metric]:
    config_holder = entry.config
    yield _gauge("config_generation", "Configuration in force.", config_holder.config.generation)
    refused = CounterMetricFamily(
        "chicorycrank_config_refused", "Configuration documents refused.", labels=["reason"]
    )
    refused.add_metric(["malformed"], config_holder.malformed_count)
    refused.add_metric(["lower"], config_holder.lower_count)
    refused.add_metric(["contradiction"], config_holder.contradiction_count)
    yield refused


def _connection_metrics(entry: Entry) -> Iterator[Metric]:
    targets = list(entry.directory.targets_by_id.values())
    peers = [p for p in entry.directory.peers_by_id.values() if p.link and p.link.is_open]
    links = GaugeMetricFamily("chicorycrank_links", "Open connections.", labels=["role"])
    links.add_metric(["agent"], len(targets))
    links.add_metric(["entry"], len(peers))
    yield links
    yield _counter(
        "refusals", "Handshakes, frames and messages refused.", "event", entry.link_counters
    )
    yield _counter(
        "agent_refusals",
        "The same at the connected agents, at most a minute old.",
        "event",
        entry.agent_counters.refusals_by_event,
    )
    executors = list(entry.directory.executors())
    yield _gauge(
        "executor_slots",
        "Slots of the connected executors.",
        sum(t.hello.executor.slots for t in executors if t.hello.executor),
    )
    yield _gauge(
        "executor_used_slots",
        "Slots in use at the connected executors.",
        sum(t.executor_load.used_slots for t in executors),
    )
    workers = list(entry.directory.workers())
    yield _gauge(
        "worker_accelerators",
        "Accelerators of the connected workers.",
        sum(t.hello.worker.accelerators for t in workers if t.hello.worker),
    )
    yield _gauge(
        "worker_used_accelerators",
        "Accelerators that tasks or reservations hold.",
        sum(len(task.accelerators) for t in workers for task in t.worker_load.tasks),
    )
    draining = sum(t.executor_load.draining or t.worker_load.draining for t in targets)
    yield _gauge("targets_draining", "Connected targets that are leaving.", draining)
    behind = sum(t.config_generation < entry.config.config.generation for t in targets)
    yield _gauge("agents_behind", "Agents that have not confirmed the configuration.", behind)


def _counter(name: str, help_text: str, label: str, counts: Mapping[Any, int]) -> Metric:
    family = CounterMetricFamily(f"chicorycrank_{name}", help_text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"chicorycrank_{name}", help_text, value=float(value))
