"""Command line, admin interface and metrics for operators."""
