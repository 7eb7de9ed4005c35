"""Demonstration of a whole deployment on one machine."""
