"""The servers' own entries in the store."""

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
MAX_WHOLE = 1 << 53
_ID = re.compile(r"[!-~]{1,200}")


@frozen
class ServerEntry:
    """A server as it registered itself."""

    service: ServiceId
    upstream: Upstream


def read_server(key: str, text: str) -> ServerEntry | SettingsFault:
    """Return a server, or the first fault of an entry that names none.

    Other writers may leave entries of any content; those harm no other entry.
    """
    faults = FaultList()
    server_id = key.removeprefix(names.SERVERS_PREFIX)
    if not _ID.fullmatch(server_id):
        remedy = "register under a name of printable characters"
        return SettingsFault(key, "the id cannot stand in a header", remedy)
    decoded = decode_json(text, key)
    if decoded.is_err():
        return decoded.unwrap_err()
    reader = ObjectReader(decoded.unwrap(), key, faults)
    info, status = reader.child(names.INFO), reader.child(names.STATUS)
    state = status.string(names.STATE)
    if state not in (names.READY, names.DRAINING):
        status.fault(names.STATE, f"unknown state {state!r:.40}", "write ready")
    status.integer(names.SEQUENCE, None, 0, MAX_WHOLE)
    warmup_ms = status.integer(names.WARMUP_LEFT_MS, None, 0, MAX_WARMUP_MS)
    born = 0
    if reader.has(names.BORN):
        born = reader.integer(names.BORN, None, 0, MAX_WHOLE)
    entry = ServerEntry(
        ServiceId(info.string(names.SERVICE)),
        Upstream(
            id=ServerId(server_id),
            address=reader.address(names.ADDRESS),
            data_centre=DataCentre(info.string(names.ZONE)),
            slots=info.integer(names.SLOTS, None, 1, MAX_SLOTS),
            leaving=state == names.DRAINING,
            warmup=timedelta(milliseconds=warmup_ms),
            process=born,
        ),
    )
    return faults.faults[0] if faults.faults else entry
