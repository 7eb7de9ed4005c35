"""The entry process: HTTP interface, request path, leader role and membership."""
