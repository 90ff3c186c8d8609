"""What the parts of a host need to know of an interface on the wire."""

from collections.abc import Callable, Mapping

from attrs import frozen

from catkinspan.coordination.configuration.models import DocumentParser
from catkinspan.platform.configuration import PREFIXES as PLATFORM_PREFIXES
from catkinspan.platform.configuration import PlatformDocuments
from catkinspan.platform.http import HTTP_NAMES as PLATFORM_HTTP
from catkinspan.protocol.http.names import CATKINSPAN_HTTP, HttpNames
from catkinspan.protocol.settings.documents import PREFIX, TreeDocuments
from catkinspan.state.node import Interface


@frozen
class InterfaceParts:
    """Names and formats of one interface."""

    http: HttpNames
    new_parser: Callable[[], DocumentParser]
    prefixes: tuple[str, ...]
    """Beginnings of the keys to read from the store."""


INTERFACES: Mapping[Interface, InterfaceParts] = {
    Interface.CATKINSPAN: InterfaceParts(CATKINSPAN_HTTP, TreeDocuments, (PREFIX,)),
    Interface.OPERATOR: InterfaceParts(
        PLATFORM_HTTP, PlatformDocuments, PLATFORM_PREFIXES
    ),
}
