"""Constants of the peer links."""

LINK_METHOD = "/catkinspan.Peers/Link"

DATAGRAM_BYTES = 1_200
"""Largest size of the messages in a datagram, without the head of the frame: one packet
on any usual link, since a datagram in fragments is lost with any of them. Larger
messages use a stream."""

DATAGRAM_INBOX = 4_096
LINK_INBOX = 1024
FRAME_MESSAGES = 64
"""Messages in one frame; more wait for the next one."""

BATCH_SECONDS = 0.002
"""Wait for more messages before a frame is sent. It saves frames while the delay stays
below the latency between data centres."""

CONNECT_SECONDS = 1.0
ACKNOWLEDGE_INTERVAL_SECONDS = 0.3
"""Shortest time between two acknowledgements on one stream."""

ACKNOWLEDGE_SECONDS = 0.6
"""Wait for an acknowledgement. A connection that went silent is replaced after it."""

ACKNOWLEDGE_EACH_SECONDS = 0.5
"""Time after which a link that sends asks for an acknowledgement again."""

ACKNOWLEDGEMENT = b"+"
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0
LINK_IDLE_SECONDS = 60.0
"""Life of a link without messages. At 1,100 hosts it keeps links to the holders of
roles open, and lets those to other hosts end."""
