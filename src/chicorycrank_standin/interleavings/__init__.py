"""Search over orders of events: all processes in one, on virtual time, one thread at a time."""
