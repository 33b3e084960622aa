"""Measurements; not part of CI."""
