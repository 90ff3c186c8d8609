"""Follows changes of the settings file."""

import asyncio
from pathlib import Path

from loguru import logger
from result import Err

from catkinspan.daemon.node import HostNode
from catkinspan.protocol.settings.node import parse_node_settings

POLL_SECONDS = 1.0
"""Interval at which the file is read again; it may change without a signal, and the
machines have no notification of changed files."""


class SettingsWatcher:
    """Reads the settings file on SIGHUP and when it changes.

    A file that cannot be read or has a fault changes nothing.
    """

    def __init__(self, path: Path, node: HostNode) -> None:
        self._path = path
        self._node = node
        self._text = self._read()

    async def async_run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            text = self._read()
            if text is not None and text != self._text:
                self._apply(text)

    def reload(self) -> None:
        """Read all files again, as SIGHUP asks for."""
        logger.bind(event="sighup").info("reading the settings and TLS files again")
        self._node.reload_tls()
        text = self._read()
        if text is not None:
            self._apply(text)

    def _apply(self, text: str) -> None:
        self._text = text
        settings = parse_node_settings(text)
        if isinstance(settings, Err):
            for fault in settings.err_value:
                logger.error("settings in force stay: {}", fault)
            return
        self._node.reload(settings.ok_value)

    def _read(self) -> str | None:
        try:
            return self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logger.warning("settings in force stay: cannot read the file: {}", error)
            return None
