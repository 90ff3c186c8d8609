"""Constants of the membership."""

PROBES_PER_SECOND = 8
"""Probes that a host sends; with fewer peers, each peer is probed once a second."""

PROBE_TIMEOUT_SECONDS = 0.3
INDIRECT_TIMEOUT_SECONDS = 0.5
"""Wait for an answer through helpers after the direct probe timed out."""

INDIRECT_HELPERS = 2
SUSPICION_SECONDS = 3.0
"""Time in which a suspected host can refute before it counts as dead. Shorter values
would declare a host dead that merely paused for a second or two."""

CONNECTIVITY_WINDOW_SECONDS = 5.0
ONE_WAY_PROBES = 4
"""Probes in a row that a peer did not hear although it was heard meanwhile. At 5% loss
in each direction one probe in ten has no direct ack, so one alone proves nothing."""

UPDATES_PER_MESSAGE = 3
"""Piggybacked updates; bounds the cost while a whole data centre fails to about
3.7 KB a second more (16 messages with 3 updates of 77 bytes)."""

TRANSMISSIONS_FACTOR = 4
"""An update is sent this often for each decimal digit of the fleet's size."""

LEAVE_FANOUT = 128
"""Peers that hear of a leaving host directly; the others hear by piggybacking."""

STARTUP_SECONDS = 5.0
STARTUP_PEERS = 3
"""Peers whose acks end the phase in which a host may raise its incarnation."""

ISOLATION_CHECK_SECONDS = 0.1
"""Time for which a result of the isolation monitor is reused. Each keyed request asks
for it, so the acks are not counted anew each time."""

FORGET_SECONDS = 120.0
"""Time after which a dead host that is not listed is forgotten."""

MAX_MEMBERS = 4096
"""Bound on known hosts, listed or not."""
