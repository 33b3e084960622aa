"""Choice of the endpoint for a request.

``router`` serves the nodes of the package ``daemon``; ``placement`` and
``table`` serve those of the package ``sidecar``.
"""
