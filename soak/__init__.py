"""Randomised fault injection into forwarding nodes run as processes."""
