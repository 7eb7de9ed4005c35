"""Measurements of decisions, routing and node cost."""
