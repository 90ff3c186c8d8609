"""Tests that followers get the server states that they have missed."""

from copy import deepcopy
from random import Random

from catkinspan.coordination.const import TICK_INTERVAL_SECONDS
from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.models import ServerCounts
from catkinspan.coordination.health.publisher import StatePublisher
from catkinspan.coordination.health.subscriber import StateSubscriber
from catkinspan.coordination.models import Sender
from catkinspan.state.ids import HostId, ServerId

FOLLOWERS = 28
SERVERS = [ServerId(f"server-{number}") for number in range(280)]
SLOTS = dict.fromkeys(SERVERS[:70], 3)
CHANGES_PER_TICK = 14
WARM_SECONDS = 20.0
CATCH_UP_SECONDS = 6.0
"""The platform's `catch_up_s`."""

HUB = HostId("hub")


def test_new_followers_catch_up_while_loads_change() -> None:
    """Guards against load reports that leave no budget for missed states."""
    rng = Random(1)
    assessor = Assessor()
    publisher = StatePublisher(assessor)
    succeeded = dict.fromkeys(SERVERS, 0)
    followers = [StateSubscriber() for _ in range(FOLLOWERS)]
    pending = set(range(FOLLOWERS))
    last_tick = round((WARM_SECONDS + CATCH_UP_SECONDS) / TICK_INTERVAL_SECONDS)
    for tick in range(1, last_tick):
        now = tick * TICK_INTERVAL_SECONDS
        counts = []
        for server in rng.sample(SERVERS, CHANGES_PER_TICK):
            succeeded[server] += 1
            load = rng.randrange(4)
            counts.append(ServerCounts(server, succeeded[server], 0, load, 0))
        assessor.add_host_counts(HostId("a"), 1, counts, now)
        message = publisher.next_message(FOLLOWERS, SLOTS, now)
        if now < WARM_SECONDS:
            continue
        requests = []
        for index, follower in enumerate(followers):
            if message is not None:
                follower.receive(message, Sender(HUB, 1), {}, now)
            for _, since in follower.missed_states([HUB], now):
                at = now + rng.random() * TICK_INTERVAL_SECONDS
                requests.append((at, index, since))
        for at, index, since in sorted(requests):
            answer = publisher.catch_up(since, at)
            if answer is None:
                continue
            followers[index].receive(answer, Sender(HUB, 1), {}, at)
            # A copy, since asking for missed states delays the next request for them.
            if not deepcopy(followers[index]).missed_states([HUB], at + 1.0):
                pending.discard(index)
    assert not pending
