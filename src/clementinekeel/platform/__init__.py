"""Adapter to the users' platform: names, formats and the store's protocol.

It decodes and encodes; decisions are made in the sidecar.
"""
