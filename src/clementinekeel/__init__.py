"""Overload control for service call graphs."""

from clementinekeel._version import VERSION as __version__

__all__ = ["__version__"]
