"""Implementations of the interfaces in :mod:`chicorycrank.ports`."""
