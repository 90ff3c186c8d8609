"""Constants of the configuration."""

READERS_PER_DATA_CENTRE = 2
FALLBACK_READ_SECONDS = 2.0
"""Mean time between reads of a host that is cut off or starts. If all 1,100 hosts
were cut off, this would be 550 reads a second of the 2,000 that the platform allows."""

FALLBACK_FIRST_READ_SECONDS = 1.0
"""The first fallback reads of all hosts are spread over this time."""

WATCH_TIMEOUT_MS = 2000
"""Longest wait of a reader's watch; shorter than the isolation limit, so that each
return renews the contact with the platform."""

STARTUP_PEERS = 3
STARTUP_MAX_ASKED = 16
"""Most peers that a new host asks while it finds too few that are ready."""

STARTUP_WAIT_SECONDS = 3.0
"""Wait for a peer's answer before a new host goes on with what the platform gave."""

STARTUP_READ_AFTER_SECONDS = 1.0
"""Time in which peers can name a revision before a new host reads the platform. Many
hosts that start together would otherwise crowd out the readers."""

QUERY_TIMEOUT_SECONDS = 0.5
STARTUP_STALL_SECONDS = 10.0
"""Time without progress towards a revision that a peer named before asking again."""

PUSH_FANOUT = 4
"""Peers to which a host passes on a revision once. An epidemic with this fan-out
reaches 98% of the hosts; probes and acks repair the rest."""

MAX_PATCH_CHARS = 8 * 1024
"""Largest text of the patches in one message; larger changes are fetched in chunks by
the hosts that lack them, so that no host receives them twice."""

HISTORY_REVISIONS = 64
CHUNK_CHARS = 32 * 1024
CHUNKS_PER_TICK = 3
"""Chunks requested per tick: at most 60 a second, 2 MB."""

SERVED_CHUNKS_PER_SECOND = 128.0
SERVED_CHUNKS_BURST = 32.0
SERVED_FETCHES = 2
"""Peers that fetch chunks from a host at once; two use up the rate above."""

SERVED_IDLE_SECONDS = 0.2
"""Time without a request after which a fetch gives up its place."""

FETCH_TIMEOUT_SECONDS = 0.5
"""Time without progress after which another source is tried, and after which a chunk
is requested again."""

MAX_DOCUMENT_CHARS = 1024 * 1024
MAX_DOCUMENTS = 4096
MAX_KNOWN_SOURCES = 64
"""Peers remembered that have a higher revision."""

MAX_DIFFERENCES = 20
"""Lines of difference in one event."""

REVISIONS_SHOWN = 20
"""Latest revisions whose time of coming into force a host remembers."""
