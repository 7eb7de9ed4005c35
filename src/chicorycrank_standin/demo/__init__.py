"""Demonstration: a whole deployment at work on this machine."""
