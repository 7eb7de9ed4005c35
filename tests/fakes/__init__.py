"""In-memory fakes of the ports."""
