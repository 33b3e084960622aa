"""Stand-ins for the systems around the nodes.

Callers, backend servers and the store, for tests, examples and measurements.
A *run* is one execution of a request at a backend server; the run ID in the
header ``standin-run`` tells whose execution it is.
"""
