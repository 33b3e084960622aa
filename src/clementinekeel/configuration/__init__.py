"""Inventory and rules."""
