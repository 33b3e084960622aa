"""Stand-ins for outside systems, for tests, demos and benchmarks."""
