"""Adapter to the users' platform: decodes and encodes, decides nothing."""
