"""Command line of the operators."""
