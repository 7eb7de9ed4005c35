"""Scheduling of multi-step batch jobs: intake, leader and agents over a transactional store."""
