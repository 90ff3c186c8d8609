"""Constants of the membership."""

HUBS_PER_DATA_CENTRE = 2
"""Hosts to which each host of a data centre reports. With two, the loss of one costs
nothing until it is replaced."""

HEARTBEAT_SECONDS = 0.4
"""Interval of heartbeats to hubs, and to seeds until a hub answers."""

SEED_SECONDS = 2.0
"""Interval of heartbeats to seeds once a hub answers. It joins two parts of a fleet
that started without contact."""

HUB_SILENT_SECONDS = 0.9
"""Time without a message from a hub after which another host takes its place; two
heartbeats and a round trip."""

HUB_RETRY_SECONDS = 2.0
"""Time for which a silent hub is left out of the choice."""

SILENT_SECONDS = 2.0
"""Time without news of a host after which it counts as silent."""

FORGET_SECONDS = 45.0
"""Time without news of a host after which it is forgotten. Until then its share of the
rates stays reserved, since it may be cut off and still serve."""

LEFT_FORGET_SECONDS = 5.0
"""Time after which a host that announced its leaving is forgotten."""

ROSTER_SECONDS = 1.0
"""Interval of whole rosters to followers without a change."""

CHANGED_ROSTER_SECONDS = 0.2
"""Shortest interval of rosters with a change, so that a fleet that starts as a whole
does not send one for each host that it finds."""

ROSTER_HOSTS = 40
"""Hosts up to which whole rosters go out every `ROSTER_SECONDS`."""

REMOTE_ROSTER_SECONDS = 3.0
"""Interval of rosters to hubs of other data centres without a change; bytes between
data centres have a price."""

ZONE_SILENT_SECONDS = 1.0
"""Time without a message from any hub of another data centre after which its hosts
count as not heard; two tellings of the store's age."""

REMOTE_FORGET_SECONDS = 8.0
"""Time without news after which a host of another data centre is forgotten: only its
hub candidates are named here, the others are counted."""

REMOTE_CANDIDATES = 4
"""Hub candidates of another data centre that a roster names; hosts report only within
their own data centre, so that the rest need not be known elsewhere."""

MAX_DATA_CENTRES = 64
MAX_ROSTER_HOSTS = 2_000
"""Hosts that a host keeps in mind."""

AGING_SECONDS = 0.2
"""Interval at which all known hosts are checked for silence. Their number grows with
the data centre, and no limit of silence is shorter than four of these."""
