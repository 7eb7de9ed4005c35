"""The entry process: HTTP interface, request path, scheduler role and membership."""
