"""Measurements, which CI does not run."""
