"""Adapter for the platform: its wire names, formats and calls, without scheduling decisions."""
