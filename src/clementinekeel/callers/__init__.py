"""HTTP interface for callers and for the local backend server."""
