"""Clients of the key-value stores, and the configuration kept in one."""
