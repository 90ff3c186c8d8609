"""Applies changes of the settings file to the running host."""

import asyncio
from pathlib import Path

from loguru import logger
from result import Err

from catkinspan.daemon.node import HostNode
from catkinspan.protocol.settings.node import parse_node_settings

POLL_INTERVAL_SECONDS = 1.0
"""The file may change without a signal, and the hosts offer no file change
notifications."""


class SettingsWatcher:
    """Applies the settings file on SIGHUP and when its content changes.

    The current settings stay in use if the file is unreadable or invalid.
    """

    def __init__(self, path: Path, node: HostNode) -> None:
        self._path = path
        self._node = node
        self._last_text = self._read()

    async def async_run(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            text = self._read()
            if text is not None and text != self._last_text:
                self._apply(text)

    def reload(self) -> None:
        """Reload the settings and TLS files, as on SIGHUP."""
        logger.bind(event="sighup").info("reloading the settings and TLS files")
        self._node.reload_tls()
        text = self._read()
        if text is not None:
            self._apply(text)

    def _apply(self, text: str) -> None:
        self._last_text = text
        settings = parse_node_settings(text)
        if isinstance(settings, Err):
            for fault in settings.err_value:
                logger.error("keeping the current settings: {}", fault)
            return
        self._node.reload(settings.ok_value)

    def _read(self) -> str | None:
        try:
            return self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logger.warning(
                "keeping the current settings: cannot read the settings file: {}", error
            )
            return None
