"""Types shared by all packages: ids, states, stored records and messages."""
