"""Names and formats of the interfaces that a host can use on the wire."""

from collections.abc import Callable, Mapping

from attrs import frozen

from catkinspan.coordination.configuration.models import DocumentParser
from catkinspan.platform.configuration import (
    STORE_KEY_PREFIXES as PLATFORM_KEY_PREFIXES,
)
from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.platform.http import HTTP_NAMES as PLATFORM_HTTP
from catkinspan.protocol.http.names import CATKINSPAN_HTTP, HttpNames
from catkinspan.protocol.settings.documents import TREE_KEY_PREFIX, TreeDocuments
from catkinspan.state.node import Interface


@frozen
class InterfaceDefinition:
    """HTTP names, settings parser and store keys of one interface."""

    http: HttpNames
    new_parser: Callable[[], DocumentParser]
    prefixes: tuple[str, ...]
    """Prefixes of the keys to read from the store."""


INTERFACES: Mapping[Interface, InterfaceDefinition] = {
    Interface.CATKINSPAN: InterfaceDefinition(
        CATKINSPAN_HTTP, TreeDocuments, (TREE_KEY_PREFIX,)
    ),
    Interface.OPERATOR: InterfaceDefinition(
        PLATFORM_HTTP, PlatformDocuments, PLATFORM_KEY_PREFIXES
    ),
}
