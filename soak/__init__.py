"""Randomised faults against forwarding nodes that run as processes."""
