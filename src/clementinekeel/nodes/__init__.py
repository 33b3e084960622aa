"""Messages to and from other nodes."""
