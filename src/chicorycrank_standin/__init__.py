"""Stand-ins for the store, executors and workers, used by tests and the demo."""
