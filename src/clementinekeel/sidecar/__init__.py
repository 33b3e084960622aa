"""Sidecar proxy: a node that forwards HTTP requests between services."""
