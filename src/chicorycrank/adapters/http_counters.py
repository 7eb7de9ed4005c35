"""Counters of the HTTP servers for clients beyond the limits."""

from prometheus_client import Counter

REFUSED_REQUESTS = Counter(
    "chicorycrank_http_requests_refused", "Requests refused before they ran", ["status"]
)
CLOSED_CONNECTIONS = Counter(
    "chicorycrank_http_connections_closed", "Waiting connections closed as there were too many"
)
