"""Inventory and rules: model, INI reader, checks, objects, classification."""
