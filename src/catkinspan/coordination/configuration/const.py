"""Constants of the configuration."""

FRESHNESS_INTERVAL_SECONDS = 0.4
"""Interval at which hubs send the age of their last contact with the store."""

MAX_TOLD_AGE_SECONDS = 1_000_000.0
"""Age that a hub tells before its first contact with the store."""

INITIAL_READ_DELAY_SECONDS = 0.5
"""Time after the start of a host before it reads the store itself, in which hubs may
deliver the documents. A fleet that starts at once finds its hubs within this time."""

READ_TAKEOVER_SECONDS = 1.6
"""Age of the last contact from which the second candidate reads the store too: the
longest wait of a watch and a round trip."""

READ_TAKEOVER_STEP_SECONDS = 0.4
"""Additional age for each further candidate, so that they take over one by one."""

MAX_READING_CANDIDATES = 4
"""Candidates of a data centre that may read the store because the last contact is old.
Other hosts read it only if no hub answers."""

READ_WITHOUT_HUB_SECONDS = 2.5
"""Age of the last contact from which a host without a hub reads the store itself."""

OUTAGE_THRESHOLD_SECONDS = 2.0
"""Age of the last contact above which the store counts as unavailable."""

LAPSE_GRACE_SECONDS = 2.0
"""Time after an outage in which removed servers stay in use: entries that expired
during the outage are registered again within about two seconds."""

MAX_HISTORY_CHANGES = 2_000
"""Latest changes that a hub can send without a full copy."""

MAX_PART_CHARS = 256 * 1024
"""Characters in one message of a full copy, unless a single document is larger."""

PULL_RETRY_SECONDS = 0.4
"""Time without an answer after which missing changes are requested again."""

MAX_DOCUMENT_CHARS = 1024 * 1024
"""The store holds values of up to one megabyte."""

MAX_DOCUMENTS = 20_000
"""Limit for the documents of a fleet: 11,000 servers, 180 services and the workspaces'
shards."""

MAX_DIFFERENCES = 20
"""Lines of difference in one event."""

MAX_RECENT_REVISIONS = 20
"""Latest revisions for which a host remembers when they came into force."""
