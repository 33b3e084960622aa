"""Clock, settings, logging, registries and invariants of a process."""
