"""Agent process that runs next to each executor or worker."""
