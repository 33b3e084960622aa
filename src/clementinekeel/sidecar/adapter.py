"""What a deployment supplies to a forwarding node."""

from collections.abc import Callable
from typing import Any

from clementinekeel.callers import dialect as dialect_module
from clementinekeel.sidecar import configuration
from clementinekeel.store import calls
from clementinekeel.store import metadata


class PlatformAdapter:
    """What a deployment supplies: names, codecs and the store."""

    def __init__(
        self,
        dialect: dialect_module.Dialect,
        configuration_key: str,
        decode_configuration: configuration.Decoder,
        decode_heartbeat: Callable[[str, bytes], Any],
        make_store: Callable[[calls.StoreConnections], metadata.MetadataStore],
        reload_settings: Callable[[], Any],
    ) -> None:
        self.dialect = dialect
        self.configuration_key = configuration_key
        self.decode_configuration = decode_configuration
        self.decode_heartbeat = decode_heartbeat
        self.make_store = make_store
        self.reload_settings = reload_settings
