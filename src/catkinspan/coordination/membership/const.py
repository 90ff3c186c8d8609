"""Constants of the membership protocol."""

HUBS_PER_DATA_CENTRE = 2
"""Hubs to which each host of a data centre reports. With two, reporting continues
without interruption while a lost hub is being replaced."""

HEARTBEAT_INTERVAL_SECONDS = 0.4
"""Interval of heartbeats to hubs, and to seeds until a hub answers."""

SEED_HEARTBEAT_INTERVAL_SECONDS = 2.0
"""Interval of heartbeats to seeds once a hub answers. They join two parts of a fleet
that started without contact to each other."""

HUB_SILENT_SECONDS = 0.9
"""Time without a message from a hub after which another host replaces it: two
heartbeats and a round trip."""

HUB_EXCLUSION_SECONDS = 2.0
"""Time for which a hub that did not answer is excluded from the selection."""

HOST_SILENT_SECONDS = 2.0
"""Time without information about a host after which it counts as silent."""

HOST_EXPIRY_SECONDS = 45.0
"""Time without information about a host after which it is removed. Until then its
share of the rates stays reserved, since it may be partitioned and still serve."""

LEFT_HOST_EXPIRY_SECONDS = 5.0
"""Time after which a host that announced that it leaves is removed."""

ROSTER_INTERVAL_SECONDS = 1.0
"""Interval of full rosters to followers when nothing changes."""

MIN_ROSTER_INTERVAL_SECONDS = 0.2
"""Shortest interval between rosters that report a change. It batches the changes when
a whole fleet starts, instead of sending one roster for each host found."""

BASE_ROSTER_HOSTS = 40
"""Number of known hosts up to which full rosters are sent every
`ROSTER_INTERVAL_SECONDS`; the interval grows in proportion above it."""

REMOTE_ROSTER_INTERVAL_SECONDS = 3.0
"""Interval of rosters to hubs of other data centres when nothing changes. It is longer
because traffic between data centres is billed."""

DATA_CENTRE_SILENT_SECONDS = 1.0
"""Time without a message from any hub of another data centre after which its hosts
count as not alive. It covers two `Freshness` intervals."""

REMOTE_HOST_EXPIRY_SECONDS = 8.0
"""Time without information after which a host of another data centre is removed. Only
its hub candidates are tracked; its other hosts are only counted."""

REMOTE_CANDIDATES = 4
"""Hub candidates of another data centre listed in a roster. Hosts report only within
their own data centre, so the others need not be known elsewhere."""

MAX_DATA_CENTRES = 64
MAX_KNOWN_HOSTS = 2_000
"""Limit for the hosts that a host tracks and for the entries that it reads from a
roster."""

EXPIRY_CHECK_INTERVAL_SECONDS = 0.2
"""Interval at which all known hosts are checked for silence. The cost grows with the
data centre; no silence limit is shorter than four intervals."""
