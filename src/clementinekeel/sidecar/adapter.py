"""Interface between a forwarding node and the platform it runs on."""

from collections.abc import Callable
from typing import Any

from clementinekeel.callers import dialect as dialect_module
from clementinekeel.sidecar import configuration
from clementinekeel.store import calls
from clementinekeel.store import metadata


class PlatformAdapter:
    """Names, decoders and the store that a platform supplies to a node.

    Attributes
    ----------
    dialect : Dialect
        Names of headers and paths.
    configuration_key : str
        Key of the newest configuration in the store.
    decode_configuration : callable
        Decodes the value of that key.
    decode_heartbeat : callable
        Decodes a heartbeat, given the endpoint's identity and the body.
    make_store : callable
        Returns the metadata store that is reached over some connections.
    reload_settings : callable
        Reads the settings again.
    """

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
