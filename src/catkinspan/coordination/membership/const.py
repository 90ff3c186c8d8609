"""Constants of the membership protocol."""

HUBS_PER_DATA_CENTRE = 2
"""Hubs to which each host of a data centre reports. With two, reporting continues
without interruption while a lost hub is being replaced."""

HEARTBEAT_INTERVAL_SECONDS = 0.4
"""Interval of heartbeats to hubs."""

SEED_HEARTBEAT_INTERVAL_SECONDS = 2.0
"""Interval of a hub's heartbeats to seeds. They join two parts of a fleet that started
without contact to each other."""

FOLLOWER_SEED_INTERVAL_SECONDS = 20.0
"""Interval of heartbeats to seeds of a host that has a hub. Its hub sends them more
often, so that the seeds' load does not grow with the number of hosts."""

FIRST_CONTACT_INTERVAL_SECONDS = 0.4
"""First interval of heartbeats to seeds without a hub; it doubles with each attempt."""

MAX_CONTACT_INTERVAL_SECONDS = 1.6
CONTACT_JITTER = 0.25
"""Largest relative deviation of an interval of heartbeats to seeds. It spreads the
heartbeats of hosts that start at the same time."""

HUB_SILENT_SECONDS = 0.9
"""Time without a message from a hub after which another host replaces it: two
heartbeats and a round trip."""

HUB_EXCLUSION_SECONDS = 2.0
"""Shortest time for which a hub that did not answer is excluded from the selection. It
stays excluded until another host has heard from it since."""

HOST_SILENT_SECONDS = 2.0
"""Time without a heartbeat of a follower, or an answer of another data centre's hub,
after which it counts as silent."""

HOST_EXPIRY_SECONDS = 45.0
"""Time without a heartbeat after which a hub removes a follower. Until then its share
of the rates stays reserved, since it may be partitioned and still serve."""

LEFT_HOST_EXPIRY_SECONDS = 5.0
"""Time after which a host that announced that it leaves is removed."""

CANDIDATE_EXPIRY_SECONDS = 5.0
"""Time after which a host of the own data centre that no roster lists is removed, if
it does not report here: several rosters."""

REMOTE_HOST_EXPIRY_SECONDS = 15.0
"""Time without information after which a host of another data centre is removed. It
covers a full rotation of the data centres that rosters list."""

ROSTER_INTERVAL_SECONDS = 1.0
"""Interval of rosters to followers. A roster has a bounded size, so a hub with 85
followers sends 85 times that size in each interval."""

MIN_ROSTER_INTERVAL_SECONDS = 0.2
"""Shortest interval between rosters. It batches the changes when a whole fleet starts,
instead of sending one roster for each host found."""

REMOTE_ROSTER_INTERVAL_SECONDS = 3.0
"""Interval of rosters to hubs of other data centres when nothing changes. It is longer
because traffic between data centres is billed."""

MIN_REMOTE_SIZE_INTERVAL_SECONDS = 1.0
"""Shortest interval between rosters that report a new size to other data centres."""

DATA_CENTRE_SILENT_SECONDS = 1.0
"""Time without a message from any hub of another data centre after which its hosts
count as not alive. It covers two `Freshness` intervals."""

HUB_CANDIDATES = 4
"""Hub candidates of the receiver's data centre in a roster: two hubs, and two more that
replace them if both are lost."""

ROSTER_CONTACTS = 3
"""Addresses of further hosts of the own data centre in a roster."""

MAX_CONTACTS = 16
"""Latest such addresses that a host keeps. If half of the hosts fail at once, one of
them is still up with near certainty."""

MATERIAL_SIZE_CHANGE = 0.1
"""Relative change of the number of hosts that a hub announces at once."""

REMOTE_DATA_CENTRES = 2
"""Other data centres of which a roster lists hubs. Rosters list them in rotation, so
that a roster fits into a datagram in a fleet of any size."""

MAX_DATA_CENTRES = 64
MAX_KNOWN_HOSTS = 2_000
"""Limit for the hosts that a host tracks."""

MAX_ROSTER_ENTRIES = 64
"""Entries that are read from a roster."""

EXPIRY_CHECK_INTERVAL_SECONDS = 0.2
"""Interval at which all known hosts are checked for silence. The cost grows with the
data centre; no silence limit is shorter than four intervals."""
