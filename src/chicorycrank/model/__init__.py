"""Types shared by every part: ids, states, records and messages."""
