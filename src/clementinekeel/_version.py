"""Version of the package, by semantic versioning."""

VERSION = "0.1.0"
