"""Programs that run on the users' platform."""
