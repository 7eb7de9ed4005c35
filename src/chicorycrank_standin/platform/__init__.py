"""Stand-ins for services of the external platform, which implement its published protocol."""
