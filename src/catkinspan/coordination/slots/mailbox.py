"""Messages that the parts of the slots concern produce, in order."""

from catkinspan.coordination.models import PeerMessage
from catkinspan.state.ids import HostId


class Mailbox:
    """Collects messages until the coordinator posts them.

    A message to the own host is handled only after the current call has ended, so
    that no part is entered again while it changes its state.
    """

    def __init__(self) -> None:
        self._messages: list[tuple[HostId, PeerMessage]] = []

    def post(self, to: HostId, message: PeerMessage) -> None:
        """Append a message."""
        self._messages.append((to, message))

    def take(self) -> list[tuple[HostId, PeerMessage]]:
        """Return and forget the messages."""
        messages, self._messages = self._messages, []
        return messages
