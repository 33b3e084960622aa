"""Members of the fleet and failure detection."""
