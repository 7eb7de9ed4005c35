"""Stand-ins for services of the platform, which implement its published protocol."""
