"""JSON that no node and no backend server writes."""

import json

NESTED = b"[" * 20_000
HUGE = "9" * 30


def with_field(content, name, value):
    """Return encoded content in which one field has another value.

    Parameters
    ----------
    name : str
        Path of the field, separated by dots.
    value : object
        New value; bytes are put in as they are.
    """
    *path, last = name.split(".")
    changed = json.loads(json.dumps(content))
    target = changed
    for part in path:
        target = target[part]
    target[last] = "?" if isinstance(value, bytes) else value
    encoded = json.dumps(changed).encode()
    return (
        encoded.replace(b'"?"', value) if isinstance(value, bytes) else encoded
    )
