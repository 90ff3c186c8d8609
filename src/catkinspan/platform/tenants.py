"""Reading of the published tenants; an unusable one does not affect the others."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from hashlib import sha256

from attrs import evolve, frozen

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.platform import names
from catkinspan.protocol.settings.reader import FaultList, ObjectReader
from catkinspan.state.ids import KeyId, WorkspaceId
from catkinspan.state.tree import KeyEntry, Workspace

MAX_RATE = 1e9
MAX_PRIORITY = 1000
NO_PRIORITY = -1


@frozen
class PublishedTenants:
    """The tenants of a configuration as workspaces, unusable ones included."""

    workspaces: Mapping[WorkspaceId, Workspace]
    unusable: Mapping[WorkspaceId, str]
    """Faults of the workspaces whose requests are refused."""

    are_complete: bool
    """Whether every key and its workspace are known."""


def read_tenants(reader: ObjectReader, tolerated: FaultList) -> PublishedTenants:
    """Read all tenants; `tolerated` gets the faults that leave the rest usable.

    Only digests of keys are kept. A tenant whose limits cannot be read is kept as
    unusable. One without a readable name is left out, and its keys are not known.
    """
    tenants_reader = _TenantsReader()
    published = tenants_reader.read(reader)
    tolerated.faults += tenants_reader.faults
    return published


class _TenantsReader:
    """Reads tenants and collects their faults by what these lead to."""

    def __init__(self) -> None:
        self._workspaces: dict[WorkspaceId, Workspace] = {}
        self._unusable_workspaces: dict[WorkspaceId, str] = {}
        self._unknown_keys = FaultList("an unknown key may belong to it")
        self._unusable = FaultList("its requests are refused")
        self._defaulted = FaultList("the default is used")

    @property
    def faults(self) -> list[SettingsFault]:
        """Return all faults."""
        lists = (self._unknown_keys, self._unusable, self._defaulted)
        return [fault for faults in lists for fault in faults.faults]

    def read(self, reader: ObjectReader) -> PublishedTenants:
        """Return the workspaces of all tenants."""
        reader = reader.reporting_to(self._unknown_keys)
        if reader.has(names.TENANTS) and reader.raw_value(names.TENANTS) is None:
            reader.add_fault(names.TENANTS, "not an array", "write [...] here")
        for tenant in reader.items(names.TENANTS):
            self._read_tenant(tenant)
        self._check_unique_keys(reader)
        return PublishedTenants(
            self._workspaces, self._unusable_workspaces, not self._unknown_keys.faults
        )

    def _read_tenant(self, reader: ObjectReader) -> None:
        workspace_id = WorkspaceId(reader.string(names.NAME))
        keys = _read_keys(reader)
        if not workspace_id:
            return
        faults = FaultList(self._unusable.consequence)
        known = self._workspaces.get(workspace_id)
        if known is not None:
            message = f"a second tenant {workspace_id!r:.80}"
            remedy = "give each tenant a name of its own"
            faults.add(reader.member_path(names.NAME), message, remedy)
            keys = (*known.keys, *_numbered(keys, len(known.keys)))
        limits = reader.reporting_to(faults)
        rate = limits.number(names.RATE_PER_S, 0.0, 0.0, MAX_RATE)
        burst = limits.number(names.BURST, 0.0, 0.0, MAX_RATE)
        priority = reader.reporting_to(self._defaulted).integer(
            names.PRIORITY, NO_PRIORITY, NO_PRIORITY, MAX_PRIORITY
        )
        self._workspaces[workspace_id] = Workspace(
            id=workspace_id,
            keys=keys,
            rate=rate,
            burst=max(1.0, burst),
            is_limited=rate > 0 or burst > 0,
            priority=None if priority < 0 else priority,
        )
        if faults.faults:
            self._unusable.faults += faults.faults
            self._unusable_workspaces[workspace_id] = str(faults.faults[0])

    def _check_unique_keys(self, reader: ObjectReader) -> None:
        """Record a fault of each workspace that shares a key with another one."""
        holders = Counter(
            digest
            for workspace in self._workspaces.values()
            for digest in {entry.digest for entry in workspace.keys}
        )
        shared = {digest for digest, count in holders.items() if count > 1}
        for workspace in self._workspaces.values() if shared else ():
            if any(entry.digest in shared for entry in workspace.keys):
                message = f"tenant {workspace.id!r:.80} shares a key with another one"
                remedy = "give each tenant keys of its own"
                reader.add_fault(names.TENANTS, message, remedy)


def _read_keys(reader: ObjectReader) -> tuple[KeyEntry, ...]:
    """Return the digests of the readable keys."""
    value = reader.raw_value(names.API_KEYS)
    if value is None:
        return ()
    if not isinstance(value, list):
        reader.add_fault(names.API_KEYS, "not an array", 'write ["KEY"] here')
        return ()
    keys = []
    for index, key in enumerate(value):
        if not isinstance(key, str) or not key:
            reader.add_fault(
                f"{names.API_KEYS}/{index}", "not a string", 'write "KEY" here'
            )
            continue
        digest = sha256(key.encode()).digest()
        keys.append(KeyEntry(_key_id(index), digest))
    return tuple(keys)


def _numbered(keys: Iterable[KeyEntry], first: int) -> Iterator[KeyEntry]:
    """Yield the keys with ids from a number on."""
    for index, entry in enumerate(keys, first):
        yield evolve(entry, id=_key_id(index))


def _key_id(index: int) -> KeyId:
    return KeyId(f"key-{index + 1}")
