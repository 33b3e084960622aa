"""Log events as JSON lines with fixed event names and fields."""

import datetime
import sys
from typing import TextIO

from loguru import logger
import msgspec

_COMMON_FIELDS = {"node": ""}
"""Fields of every event, set by ``configure``."""


def configure(level: str, node_id: str, stream: TextIO = sys.stderr) -> None:
    """Write log events to a stream, one JSON object per line.

    Parameters
    ----------
    level : str
        Lowest level that is written, for example ``"INFO"``.
    node_id : str
        Added to each event as field ``node``.
    stream : TextIO
        Stream to write to.
    """
    _COMMON_FIELDS["node"] = node_id
    logger.remove()

    def write(message: object) -> None:
        record = message.record  # type: ignore[attr-defined]
        line = {
            "time": record["time"].astimezone(datetime.UTC).isoformat(),
            "level": record["level"].name,
            "event": record["message"],
            "node": _COMMON_FIELDS["node"],
            **record["extra"],
        }
        text = msgspec.json.encode(line, enc_hook=str).decode()
        stream.write(text + "\n")
        stream.flush()

    logger.add(write, level=level, format="{message}", catch=False)


def event(name: str, level: str = "INFO", **fields: object) -> None:
    """Write one log event.

    Parameters
    ----------
    name : str
        Fixed name of the event.
    level : str
        Log level.
    **fields : object
        Fields of the event; never a request body, a key or a token.
    """
    logger.bind(**fields).log(level, name)
