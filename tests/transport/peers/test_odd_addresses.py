"""Peers that announce addresses to which nothing can be sent.

Guards against one message that takes a whole process down.
"""

import asyncio

import pytest
import uvloop

from catkinspan.state.tree import Address
from catkinspan.transport.peers.datagrams import Datagram, DatagramTask
from tests.fleet import TEST_TIMEOUT_SECONDS, free_addresses

ODD_ADDRESSES = [
    Address("::1", 80),
    Address("127.0.0.1", 0),
    Address("255.255.255.255", 9),
]


@pytest.mark.parametrize("odd", ODD_ADDRESSES, ids=str)
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_datagram_to_an_odd_address_does_not_end_the_task(run, odd: Address) -> None:
    async def send() -> list[bytes]:
        received: list[bytes] = []
        sender_address, receiver_address = free_addresses(2)
        sender = DatagramTask(lambda data: None)
        receiver = DatagramTask(received.append)
        await receiver.async_start(receiver_address)
        await sender.async_start(sender_address)
        task = asyncio.create_task(sender.async_run())
        sender.inbox.post(Datagram(odd, b"odd"))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not received and not task.done():
                sender.inbox.post(Datagram(receiver_address, b"good"))
                await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return received

    assert run(send())[0] == b"good"
