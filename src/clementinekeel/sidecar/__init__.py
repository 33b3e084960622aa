"""Node that forwards plain HTTP requests of callers between services."""
