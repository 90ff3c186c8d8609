"""Constants of the rates."""

FRESH_SECONDS = 1.0
"""Age up to which a hub's level is used; after it the host admits its own share."""

UNKNOWN_FLEET = 64
"""Hosts assumed by a host that has not found any other; the store lists none, and a
fleet that restarts as a whole must not admit a full burst on each host."""

SCARCE_SHARE = 0.5
"""Share of the burst below which a hub tells the level. A workspace that it does not
name is admitted: what all hosts admit until the next report is within the window's
room."""

HORIZON_SECONDS = 0.5
"""Time for which a told level must last: two exchanges within a data centre and the
one between data centres."""

DEMAND_SECONDS = 0.6
"""Time over which the demand of a workspace is averaged."""

RECENT_SECONDS = 1.0
"""Time after its last use for which a workspace stays in the reports; several reports
carry the same counter, so that a lost one does no harm."""

IDLE_SECONDS = 30.0
"""Time without use after which the state of a workspace is dropped; its bucket is full
again by then at any usual rate."""
