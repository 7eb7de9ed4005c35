"""The agent process that runs beside each target."""
