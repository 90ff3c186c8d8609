"""Constants of the configuration."""

FRESHNESS_INTERVAL_SECONDS = 0.4
"""Interval at which hubs send the age of their last contact with the store."""

INITIAL_READ_DELAY_SECONDS = 0.5
"""Time after the start of a host before it reads the store itself, in which hubs may
deliver the documents. A fleet that starts at once finds its hubs within this time."""

LONE_READ_DELAY_SECONDS = 1.5
"""Time after its start before a host reads the store that has not found another host of
its data centre: the time in which seeds are contacted three times."""

READ_TAKEOVER_SECONDS = 1.6
"""Age of the last contact from which the second candidate reads the store too: the
longest wait of a watch and a round trip."""

READING_DATA_CENTRES = 2
"""Data centres whose first hub candidate reads the store. Each watch that waits is a
billed call, also in a data centre of a few hosts; the others hear from these two. With
one reader, the contact would look old whenever a single message is late."""

FAILING_READER_SECONDS = 2.0
"""Time for which a reported failure of a reader counts. A store that loses some answers
would otherwise make the next candidate start and stop with each call."""

READ_TAKEOVER_STEP_SECONDS = 0.4
"""Additional age for each further candidate, so that they take over one by one."""

MAX_READING_CANDIDATES = 4
"""Candidates of a data centre that may read the store because the last contact is old.
"""

HUB_SILENCE_SECONDS = 1.4
"""Time without a message from any hub after which a host reads the store itself once
the last contact is old: the time in which a silent hub is replaced, and the first
`Freshness` of the next one. With a call to the store, a host that loses all its hubs
hears of a removed server within the 2 s in which the server still serves."""

SUBSTITUTE_AGE_SECONDS = 2.5
"""Age of the last contact from which further hosts read the store."""

SUBSTITUTE_READERS = 8
"""Expected number of further hosts in the fleet that read the store if the candidates
do not reach it. All hosts together would overload it when it comes back."""

SUBSTITUTE_PERIOD_SECONDS = 5.0
"""Time after which other hosts are the substitutes, as the store may refuse some."""

OUTAGE_THRESHOLD_SECONDS = 2.0
"""Age of the last contact above which the store counts as unavailable."""

MAX_CLAIM_SECONDS = OUTAGE_THRESHOLD_SECONDS
"""Time for which a peer is believed that tells of a newer revision without delivering
it. Beyond it the copy is confirmed by others, or counts as old."""

LAPSE_GRACE_SECONDS = 2.0
"""Time after an outage in which removed servers stay in use: entries that expired
during the outage are registered again within about two seconds."""

MAX_HISTORY_CHANGES = 2_000
"""Latest changes that a hub can send without a full copy."""

MAX_REVISION_GAPS = 32
"""Full copies in a history that are kept apart; older ones count as one."""

MAX_CHANGES_CHARS = 64 * 1024
"""Size up to which several changes are sent in one message. A link of 10 Mbit/s carries
it, compressed, within 30 ms, so that other messages do not wait for long."""

WINDOW_CHARS_PER_MBPS = 12 * 1024
"""Size of large changes on their way to other hosts, for each Mbit/s of this host's
link: what it carries, compressed, within 50 ms."""

ASSUMED_LINK_MBPS = 10.0
"""Bandwidth of a link of unknown bandwidth."""

ACKNOWLEDGEMENT_SECONDS = 0.25
"""Time, beside that of the transfer, after which changes are sent to further hosts
though a host did not acknowledge its own."""

MAX_PART_CHARS = 32 * 1024
"""Characters in one message of a full copy, unless a single document is larger. A link
of 10 Mbit/s carries it within 30 ms, so that other messages do not wait for long."""

COPY_WINDOW_PARTS = 2
"""Parts of one copy that are sent before they are acknowledged, so that a link is in
use while an acknowledgement travels."""

COPY_LINK_SHARE = 0.5
"""Share of a host's link that the links of the hosts which receive copies may fill."""

MIN_CONCURRENT_COPIES = 2
"""Copies that are sent at once in any case, also if the links' bandwidth is unknown."""

COPY_IDLE_SECONDS = 4.0
"""Time without a message from a receiver after which its copy is dropped. It exceeds
the longest interval of repeated requests."""

ANSWERING_SOURCE_SECONDS = 1.0
"""Time after a sign of a copy in preparation in which no other host is asked."""

SMALL_CHANGE_CHARS = 800
"""Size up to which changes are sent to all followers and hubs at once. Only the primary
hub sends larger ones; other hosts learn of them by `Freshness` and pull them."""

PULL_RETRY_SECONDS = 0.6
"""Time without an answer after which missing changes are requested again from the same
host; it doubles with each attempt."""

OTHER_PULL_RETRY_SECONDS = 0.2
"""Time without an answer after which missing changes are requested from another host.
"""

MAX_PULL_RETRY_SECONDS = 2.4
PUSH_GRACE_SECONDS = 0.35
"""Time in which changes that the standby hub announces may arrive from the primary one,
which may have to request them first."""

OWN_READ_GRACE_SECONDS = 0.15
"""Time in which changes that another hub announces may arrive from the store: the pause
between two watches, and a round trip. No host pushes large changes to a hub of another
data centre."""

REPEATED_ANSWER_SECONDS = 1.0
"""Shortest interval between two copies for one host. A copy can wait that long for a
full link, and further ones would delay it more."""

MAX_DOCUMENT_CHARS = 1024 * 1024
"""The store holds values of up to one megabyte."""

MAX_DOCUMENTS = 20_000
"""Limit for the documents of a fleet: 11,000 servers, 180 services and the workspaces'
shards."""

MAX_DIFFERENCES = 20
"""Lines of difference in one event."""

MAX_RECENT_REVISIONS = 20
"""Latest revisions for which a host remembers when they came into force."""
