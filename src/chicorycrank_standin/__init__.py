"""Stand-ins for the store, executors and workers, used by the tests and the demo."""
