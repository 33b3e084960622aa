"""Admission of requests to a backend server's slots.

``controller`` serves the nodes of the package ``daemon``; ``slot_queue`` and
``throttle`` serve those of the package ``sidecar``.
"""
