"""What an attempt of a request is assigned: its server, its limits and its evidence."""

from catkinspan.coordination.balancing.models import ServerChoice
from catkinspan.coordination.requests.const import (
    HEDGE_LATENCY_MULTIPLE,
    MIN_HEDGE_DELAY_SECONDS,
    TRIAL_HEDGE_LATENCY_MULTIPLE,
)
from catkinspan.coordination.requests.models import Assigned
from catkinspan.coordination.requests.records import ActiveRequest
from catkinspan.state.ids import Revision


def assignment(
    request: ActiveRequest,
    choice: ServerChoice,
    expected_latency: float,
    revision: Revision,
    is_repeated: bool,
) -> Assigned:
    """Return the directive for the latest attempt of a request.

    `expected_latency` is in seconds; `revision` is that of the settings in force;
    `is_repeated` tells whether the server has already been sent the request.
    """
    policy = request.route.policy
    upstream = choice.upstream
    return Assigned(
        request_id=request.id,
        attempt=request.attempts_made,
        service=request.service,
        route=request.route.id,
        workspace=request.workspace,
        server=upstream.id,
        address=upstream.address,
        deadline=request.deadline,
        attempt_timeout=policy.attempt_timeout.total_seconds(),
        usual=expected_latency,
        hold_bytes=policy.hold_bytes,
        idempotent=request.is_idempotent,
        max_body_bytes=policy.max_body_bytes,
        connection_limit=choice.connection_limit,
        key_query_parameter=policy.key_query_parameter,
        risk=round(choice.risk, 3),
        in_flight=choice.in_flight,
        state_age=choice.state_age,
        is_trial=choice.is_trial,
        revision=revision,
        is_repeated=is_repeated,
    )


def hedge_delay(choice: ServerChoice, expected_latency: float) -> float:
    """Return the seconds after which a second server gets the request too."""
    multiple = (
        TRIAL_HEDGE_LATENCY_MULTIPLE if choice.is_trial else HEDGE_LATENCY_MULTIPLE
    )
    queue_rounds = 1 + choice.in_flight // max(1, choice.upstream.slots)
    return max(MIN_HEDGE_DELAY_SECONDS, multiple * expected_latency * queue_rounds)
