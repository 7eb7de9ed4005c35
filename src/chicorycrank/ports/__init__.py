"""Interfaces to the outside: clock, store, targets and peer links."""
