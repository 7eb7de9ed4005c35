"""Programs that run on the platform: the batch entry and the batch agent."""
