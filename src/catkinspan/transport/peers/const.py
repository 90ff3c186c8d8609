"""Constants for the links and datagrams between hosts."""

LINK_METHOD = "/catkinspan.Peers/Link"

MAX_DATAGRAM_BYTES = 1_200
"""Maximum size of the messages in a datagram, without the frame header. Such a
datagram fits into one packet on common networks; a fragmented one is lost if any
fragment is lost. Larger messages use a stream."""

DATAGRAM_INBOX_MESSAGES = 4_096
LINK_INBOX_MESSAGES = 1024
MAX_LINK_QUEUE_SECONDS = 1.0
"""Time after which a queued message is dropped instead of sent. Receivers take a state
as current when it arrives, and the next report replaces a dropped one."""

MAX_SENT_FRAME_MESSAGES = 64
"""Maximum number of messages in a frame; further ones wait for the next frame."""

BATCH_SECONDS = 0.002
"""Time to collect messages before a frame is sent. It reduces the number of frames and
stays below the latency between data centres."""

CONNECT_TIMEOUT_SECONDS = 1.0
ACKNOWLEDGE_INTERVAL_SECONDS = 0.3
"""Minimum time between two acknowledgements on one stream."""

ACKNOWLEDGE_TIMEOUT_SECONDS = 0.6
"""Timeout of an acknowledgement, after which an unresponsive connection is replaced."""

ACKNOWLEDGE_REQUEST_SECONDS = 0.5
"""Time after an acknowledgement from which a sending link waits for the next one."""

ACKNOWLEDGEMENT = b"+"
MAX_ACKNOWLEDGEMENT_BYTES = 64
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0
LINK_IDLE_SECONDS = 60.0
"""Time without messages after which a link ends. With 1,100 hosts, links to hosts that
hold roles stay open and links to other hosts end."""
