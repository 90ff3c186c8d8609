"""Compact encoding of server states, of which hubs send more than of anything else."""

from base64 import b64decode, b64encode
from struct import Struct
from typing import Any

from catkinspan.coordination.health.const import RISK_STEP
from catkinspan.coordination.health.models import ServerState

_STATE = Struct(">IBB")
_MAX_IN_FLIGHT = 255
_MAX_STEPS = round(1 / RISK_STEP)
_RISKS = tuple(round(steps * RISK_STEP, 2) for steps in range(_MAX_STEPS + 1))
"""Risk by its number of steps."""

STATES_TYPE = tuple[ServerState, ...]


def pack_states(states: tuple[ServerState, ...]) -> str:
    """Return states as base64 of six bytes each: digest, load and steps of risk.

    A load above 255 is encoded as 255.
    """
    packed = b"".join(
        _STATE.pack(
            state.server,
            min(state.in_flight, _MAX_IN_FLIGHT),
            round(state.risk / RISK_STEP),
        )
        for state in states
    )
    return b64encode(packed).decode()


def unpack_states(text: Any, _: Any) -> tuple[ServerState, ...]:
    """Return the states; raises ValueError for an invalid text."""
    if type(text) is not str:
        raise TypeError("not a string")
    data = b64decode(text, validate=True)
    if len(data) % _STATE.size:
        raise ValueError(f"{len(data)} bytes are not a whole number of states")
    states = list(_STATE.iter_unpack(data))
    most_steps = max([steps for _, _, steps in states], default=0)
    if most_steps > _MAX_STEPS:
        raise ValueError(f"a risk of {most_steps} steps is above 1")
    return tuple(
        [ServerState(server, load, _RISKS[steps]) for server, load, steps in states]
    )
