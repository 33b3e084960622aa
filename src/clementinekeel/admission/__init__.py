"""Admission of requests to a backend server's slots."""
