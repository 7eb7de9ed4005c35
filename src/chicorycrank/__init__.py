"""Scheduler for multi-accelerator jobs and short requests of several teams on shared racks."""
