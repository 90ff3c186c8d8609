"""Constants of the rates concern."""

CLOCK_DRIFT = 0.0005
"""Assumed bound on how much a host's clock runs fast or slow (500 ppm, the largest
slew of a clock disciplined by NTP)."""

DRIFT_MARGIN = 1.0 + 3.0 * CLOCK_DRIFT
"""Factor on the period that the giver of a lease or grant waits for its end; covers
a fast clock at the giver and a slow one at the holder."""

MINT_FACTOR = 1.0 - CLOCK_DRIFT
"""Factor on the rate, so that a host with a fast clock mints no more than its share."""

LENDING_PERIOD_SECONDS = 1.25
"""Time between two lending updates to the same peer in a small fleet."""

SMALL_FLEET_HOSTS = 64

HOUSEKEEPING_SECONDS = 0.25
"""Interval of renewing self-leases, ending leases and releasing shards."""

LENDING_MESSAGES_PER_SECOND = 20
"""Largest number of lending updates that a host of a larger fleet sends each second
(about 2 KB); the period of lending grows with the fleet to keep it."""

LEASE_PERIODS = 3.6
"""Length of a lease in lending periods. A lease is renewed with a stamp up to two
periods old, and must still cover a grant after one lost update."""

FRESH_PERIODS = 2.5
"""Age in lending periods up to which a peer counts as heard, or as hearing."""

MIN_UPDATE_INTERVAL_SECONDS = 0.2
"""Shortest time between two updates to a peer outside the period."""

KEPT_STAMPS = 8
PREFETCH_LIFE_SECONDS = 1.5
"""Life of tokens that are granted ahead of demand."""

PREFETCH_SECONDS = 1.5
"""Span of expected local demand that a host asks for ahead."""

MIN_PREFETCH_CAP = 50.0
"""Smallest cap of a bucket that grants ahead of demand; tokens that lie on hosts would
take a noticeable part of a smaller one."""

PREFETCH_RESERVE = 0.5
"""Fraction of its cap that a grantor keeps back from grants ahead of demand."""

MIN_PREFETCH_TOKENS = 2
RETURN_BEFORE_EXPIRY_SECONDS = 0.3
MIN_ASK_LIFE_SECONDS = 0.008
MAX_ASK_LIFE_SECONDS = 0.1

SELF_LEASE_SECONDS = 1.5
"""Length of the lease by which a host uses its own minting right."""

WAIT_SECONDS = 0.1
"""Longest time that a request waits for an answer from the grantor."""

MAX_WAITING = 64
"""Requests of one workspace that wait on one host at once."""

MIN_HOLD_SECONDS = 0.02
MAX_HOLD_SECONDS = 0.5
"""Bounds on the time that a host refuses on its own after a grantor had no tokens;
the hold doubles with each refusal in a row, so an overloaded workspace cannot flood
its grantor."""

HIGH_PRESSURE = 0.4
"""Share of unmet asks above which a workspace counts as overloaded."""

PRESSURE_WEIGHT = 0.02
"""Weight of one ask in the share of unmet asks; about the last 50 asks count."""

ASKER_MEMORY_SECONDS = 2.0

UNANSWERED_ASKS = 3
"""Asks in a row without an answer after which a host treats its grantor as out of
reach."""

RETRY_GRANTOR_SECONDS = 0.5
DEMAND_SECONDS = 2.0
"""Time constant of the local demand estimate."""

LIST_MEMORY_SECONDS = 30.0
"""Shortest time that an id which left the host list still takes a rank; above the
13 s within which a list is in force everywhere."""

RANK_INTERVAL_SECONDS = 1.0

SPARE_INCARNATIONS = 100
"""Departed hosts whose last incarnation is remembered in any case."""

CONFIRMING_PEERS = 3
"""Peers that must know no newer incarnation of a host before it mints."""

CONFIRM_RETRY_SECONDS = 0.5
EVICT_SECONDS = 5.0
"""Interval between searches for idle buckets."""

REFUSAL_SECONDS = 60.0
"""Time that a refusal counts as recent in the operators' snapshot."""

EPSILON = 1e-9
"""Tolerance for sums of fractions of tokens."""
