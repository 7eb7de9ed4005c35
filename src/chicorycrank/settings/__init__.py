"""Settings files: JSON with comments, checked with line and column."""
