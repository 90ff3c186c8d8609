"""Addresses of server entries.

Guards against an entry of another writer that is taken for a server that can be used.
"""

import pytest

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.platform.servers import ServerEntry, parse_server_entry
from catkinspan.state.tree import Address
from tests.platform.entries import server_entry

UNUSABLE = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1:-1",
    "10.0.0.1:00080",
    "10.0.0.1:8080 ",
    "10.0.0.1:８０",
    "10.0.0.1",
    "10.0.0.1:",
    ":8080",
    "[10.0.0.1]:8080",
    "::1:80",
    "[::1:80",
    "::1]:80",
    "[::]:80",
    "0.0.0.0:8080",
    "224.0.0.1:8080",
    "255.255.255.255:8080",
    "10.0.0.1:8080\n",
    "10.0.0.0001:8080",
]


@pytest.mark.parametrize("address", UNUSABLE)
def test_address_that_no_server_can_have_is_a_fault(address: str) -> None:
    parsed = parse_server_entry("servers/i-1", server_entry(1, address=address))
    assert isinstance(parsed, SettingsFault)
    assert parsed.remedy


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.1:1", Address("10.0.0.1", 1)),
        ("10.0.0.1:65535", Address("10.0.0.1", 65535)),
        ("[fd00::1]:80", Address("fd00::1", 80)),
    ],
)
def test_address_of_one_host_with_a_port_is_used(text: str, address: Address) -> None:
    parsed = parse_server_entry("servers/i-1", server_entry(1, address=text))
    assert isinstance(parsed, ServerEntry)
    assert parsed.upstream.address == address
