"""Extraction of API keys from requests, and their removal before forwarding."""

from collections.abc import Iterable
from urllib.parse import parse_qsl, unquote, urlencode

from catkinspan.protocol.http.const import API_KEY, AUTHORIZATION

_BEARER = b"bearer "


def presented_keys(headers: Iterable[tuple[bytes, bytes]]) -> set[str]:
    """Return the distinct keys in the headers that may contain one."""
    keys = set()
    for name, value in headers:
        if name == API_KEY:
            keys.add(value.strip().decode("latin-1"))
        if name == AUTHORIZATION and value[: len(_BEARER)].lower() == _BEARER:
            keys.add(value[len(_BEARER) :].strip().decode("latin-1"))
    return keys


def without_key_headers(
    headers: Iterable[tuple[bytes, bytes]], key: str | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers without those that may contain a key.

    Any header with the presented key in its value, such as a cookie or a referrer, is
    removed as well.
    """
    key_bytes = key.encode("latin-1", "replace") if key else None
    return [
        (name, value)
        for name, value in headers
        if name not in (API_KEY, AUTHORIZATION)
        and (key_bytes is None or key_bytes not in value)
    ]


def query_without_key(raw_query: str, parameter: str | None, key: str | None) -> str:
    """Return the query without the key parameter and parameters that contain the key.

    If no parameter is removed, the query is returned unchanged, byte for byte.
    """
    if not raw_query:
        return raw_query
    pairs = parse_qsl(raw_query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name != parameter and (not key or (key not in value and key not in name))
    ]
    return raw_query if len(kept) == len(pairs) else urlencode(kept)


def path_contains_key(path: str, key: str | None) -> bool:
    """Return whether a path contains the presented key, percent-encoded or not."""
    return bool(key) and (str(key) in path or str(key) in unquote(path))
