"""Example deployments and a demonstration."""
