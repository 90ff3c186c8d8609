"""Tests the store client and reader against the stand-in store and its fault modes."""

import asyncio
from random import Random
from typing import Any

import pytest

from catkinspan.coordination.configuration.models import (
    Document,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.platform import store as platform_store
from catkinspan.platform.store import PlatformStore
from catkinspan.standin.platform import StandinPlatform, StoreMode
from catkinspan.state.ids import Revision
from catkinspan.state.tree import Address
from catkinspan.transport.mailbox import Mailbox
from catkinspan.transport.store.reader import (
    HistoryCompactedError,
    StartReading,
    StoreError,
    StoreReader,
)
from tests.fleet import TEST_TIMEOUT_SECONDS

PREFIXES = ("op/", "servers/")


async def start_store() -> tuple[StandinPlatform, PlatformStore]:
    platform = StandinPlatform()
    address = await platform.async_start(Address("127.0.0.1", 0))
    return platform, PlatformStore(address, PREFIXES)


async def test_copy_reads_all_pages_of_the_own_prefixes() -> None:
    platform, store = await start_store()
    items: dict[str, bytes | None] = {f"servers/i-{n:03}": b"{}" for n in range(120)}
    items |= {"op/config": b"\xff{", "other/x": b"1"}
    await platform.async_put(items)
    copy = await store.async_read_all()
    assert len(copy.documents) == 121
    assert copy.revision == platform.revision
    await platform.async_stop()


async def test_watch_returns_changes_and_deletions() -> None:
    platform, store = await start_store()
    first = await platform.async_put({"servers/a": b"1", "servers/b": b"2"})
    await platform.async_put({"servers/a": None, "elsewhere": b"3"})
    changes = await store.async_watch(first)
    assert [(d.name, d.text) for d in changes.documents] == [("servers/a", None)]
    assert changes.revision == platform.revision
    await platform.async_stop()


async def test_compacted_history_raises_its_own_error() -> None:
    platform, store = await start_store()
    await platform.async_put({"servers/a": b"1"})
    platform.compact()
    with pytest.raises(HistoryCompactedError):
        await store.async_watch(Revision(0))
    await platform.async_stop()


@pytest.mark.parametrize("mode", [m for m in StoreMode if m is not StoreMode.OK])
async def test_each_fault_is_a_typed_error(
    mode: StoreMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a timeout, a stalled call blocks the reader forever."""
    monkeypatch.setattr(platform_store, "READ_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(platform_store, "WATCH_TIMEOUT_MARGIN_SECONDS", -0.8)
    platform, store = await start_store()
    await platform.async_set_mode(mode)
    with pytest.raises(StoreError):
        await store.async_read_all()
    with pytest.raises(StoreError):
        await store.async_watch(Revision(0))
    await platform.async_stop()


async def test_reader_reads_all_documents_after_a_compaction() -> None:
    platform, store = await start_store()
    await platform.async_put({"servers/a": b"1"})
    host: Mailbox[Any] = Mailbox(100)
    inbox: Mailbox[Any] = Mailbox(10)
    task = asyncio.create_task(StoreReader(store, host, inbox, Random(1)).async_run())
    inbox.post_unbounded(StartReading())
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        assert isinstance(await host.async_get(), StoreSnapshot)
        await platform.async_set_mode(StoreMode.DOWN)
        await platform.async_put({"servers/b": b"2"})
        platform.compact()
        await platform.async_set_mode(StoreMode.OK)
        copies = []
        while not copies:
            message = await host.async_get()
            if isinstance(message, StoreSnapshot):
                copies.append(message)
            else:
                assert not isinstance(message, StoreChanges) or not message.documents
    assert {d.name for d in copies[0].documents} == {"servers/a", "servers/b"}
    task.cancel()
    await platform.async_stop()


async def test_unexpected_error_of_a_call_does_not_end_the_reader() -> None:
    """Guards against a process that ends because of what the store holds."""

    class FailingOnce:
        def __init__(self) -> None:
            self.calls = 0

        async def async_read_all(self) -> StoreSnapshot:
            self.calls += 1
            if self.calls == 1:
                raise RecursionError("too deep")
            return StoreSnapshot(Revision(1), ())

        async def async_watch(self, after: Revision) -> StoreChanges:
            await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            return StoreChanges(after, after, ())

    host: Mailbox[Any] = Mailbox(1000)
    inbox: Mailbox[Any] = Mailbox(10)
    reader = StoreReader(FailingOnce(), host, inbox, Random(1))
    task = asyncio.create_task(reader.async_run())
    inbox.post_unbounded(StartReading())
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not isinstance(await host.async_get(), StoreSnapshot):
            assert not task.done()
    task.cancel()


async def test_copy_has_the_changes_made_while_its_pages_were_read() -> None:
    """Guards against the removal of a server that the copy already lacks, so that it
    never reaches hosts which know the server."""

    class ChangingStore:
        async def async_read_all(self) -> StoreSnapshot:
            kept = Document("servers/a", Revision(3), "1")
            added = Document("servers/c", Revision(12), "3")
            return StoreSnapshot(Revision(10), (kept, added), Revision(12))

        async def async_watch(self, after: Revision) -> StoreChanges:
            if after >= Revision(13):
                await asyncio.sleep(TEST_TIMEOUT_SECONDS)
            removed = Document("servers/b", Revision(11), None)
            added = Document("servers/c", Revision(12), "3")
            changed = Document("servers/a", Revision(13), "2")
            return StoreChanges(after, Revision(13), (removed, added, changed))

    host: Mailbox[Any] = Mailbox(1000)
    inbox: Mailbox[Any] = Mailbox(10)
    reader = StoreReader(ChangingStore(), host, inbox, Random(1))
    task = asyncio.create_task(reader.async_run())
    inbox.post_unbounded(StartReading())
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        copy = await host.async_get()
    assert copy.revision == Revision(13)
    assert {(d.name, d.text) for d in copy.documents} == {
        ("servers/a", "2"),
        ("servers/c", "3"),
    }
    task.cancel()
