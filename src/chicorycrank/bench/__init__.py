"""Benchmarks of decisions, routing, generations, and the cost of agents and leaders."""
