"""Example deployments, a demonstration and a tour of the commands.

The deployments ``mill`` and ``office`` are an inventory, rules and an asset
register each, for four services in two regions.
"""
