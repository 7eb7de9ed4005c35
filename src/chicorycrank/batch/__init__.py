"""Batch jobs of several steps: intake, leader and agents over a transactional store."""
