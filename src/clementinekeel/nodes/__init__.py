"""Communication between nodes."""
