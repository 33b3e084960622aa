"""Shared basis of all processes: clock, settings, logs, errors, servers."""
