"""Constants of the peer links."""

LINK_METHOD = "/catkinspan.Peers/Link"

LINK_INBOX = 1024
FRAME_MESSAGES = 64
"""Messages in one frame; more wait for the next one."""

BATCH_SECONDS = 0.002
"""Wait for more messages before a frame is sent. It saves frames while the delay stays
below the latency between data centres."""

CONNECT_SECONDS = 1.0
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 2.0
LINK_IDLE_SECONDS = 60.0
"""Life of a link without messages. At 1,100 hosts it keeps links to the holders of
roles open, and lets those to other hosts end."""
