"""Parsing of the entries that servers register in the store."""

import re
from datetime import timedelta

from attrs import frozen

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.platform import names
from catkinspan.protocol.settings.reader import FaultList, ObjectReader, decode_json
from catkinspan.state.ids import DataCentre, ServerId, ServiceId
from catkinspan.state.tree import Upstream

MAX_SLOTS = 10_000
MAX_WARMUP_MS = 3_600_000
MAX_SAFE_INTEGER = 1 << 53
"""Larger integers are not exact in parsers that read JSON numbers as doubles."""

_SERVER_ID_PATTERN = re.compile(r"[!-~]{1,200}")


@frozen
class ServerEntry:
    """A server with the service that it registered for."""

    service: ServiceId
    upstream: Upstream


def parse_server_entry(key: str, text: str) -> ServerEntry | SettingsFault:
    """Return the parsed entry, or the first fault of an invalid one.

    Other writers may store entries with any content; an invalid entry does not affect
    the others.
    """
    faults = FaultList()
    server_id = key.removeprefix(names.SERVERS_PREFIX)
    if not _SERVER_ID_PATTERN.fullmatch(server_id):
        remedy = (
            "register under an id of 1 to 200 printable ASCII characters without spaces"
        )
        return SettingsFault(key, "the id is not valid in an HTTP header", remedy)
    decoded = decode_json(text, key)
    if decoded.is_err():
        return decoded.unwrap_err()
    reader = ObjectReader(decoded.unwrap(), key, faults)
    info, status = reader.child(names.INFO), reader.child(names.STATUS)
    state = status.string(names.STATE)
    if state not in (names.READY, names.DRAINING):
        status.add_fault(
            names.STATE, f"unknown state {state!r:.40}", "write ready or draining"
        )
    status.integer(names.SEQUENCE, None, 0, MAX_SAFE_INTEGER)
    warmup_ms = status.integer(names.WARMUP_LEFT_MS, None, 0, MAX_WARMUP_MS)
    process = 0
    if reader.has(names.BORN):
        process = reader.integer(names.BORN, None, 0, MAX_SAFE_INTEGER)
    entry = ServerEntry(
        ServiceId(info.string(names.SERVICE)),
        Upstream(
            id=ServerId(server_id),
            address=reader.destination(names.ADDRESS),
            data_centre=DataCentre(info.string(names.ZONE)),
            slots=info.integer(names.SLOTS, None, 1, MAX_SLOTS),
            leaving=state == names.DRAINING,
            warmup=timedelta(milliseconds=warmup_ms),
            process=process,
        ),
    )
    return faults.faults[0] if faults.faults else entry
