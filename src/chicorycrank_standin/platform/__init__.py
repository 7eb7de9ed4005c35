"""Stand-ins of the users' platform, by its published protocol."""
