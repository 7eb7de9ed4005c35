"""Settings files in JSON with comments, and their validation by line and column."""
