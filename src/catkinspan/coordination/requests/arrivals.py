"""Admission of arrived requests by a host that may lack knowledge."""

from collections.abc import Iterator

from result import Ok

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.requests import refusals
from catkinspan.coordination.requests.admission import Admission
from catkinspan.coordination.requests.const import MAX_CATCH_UP_HOLD_SECONDS
from catkinspan.coordination.requests.dependencies import RequestDependencies
from catkinspan.coordination.requests.errors import Refusal
from catkinspan.coordination.requests.holding import HeldRequest, HeldRequests
from catkinspan.coordination.requests.models import Refused, RequestArrived
from catkinspan.coordination.requests.records import ActiveRequest
from catkinspan.state.ids import RequestId


class Arrivals:
    """Admits requests, refuses them, or holds them until the host knows enough.

    A refusal that newer settings may lift is final only if the settings in force are
    known to be the newest.
    """

    def __init__(
        self, dependencies: RequestDependencies, admission: Admission, outbox: Outbox
    ) -> None:
        self._gate = dependencies.gate
        self._admission = admission
        self._outbox = outbox
        self._starting = HeldRequests()
        """Requests held until the host has a configuration."""

        self._outdated = HeldRequests()
        """Requests held until the newest settings that are known of have arrived."""

    @property
    def held_count(self) -> int:
        """Return the number of requests held until the host has a configuration."""
        return len(self._starting)

    @property
    def total_held(self) -> int:
        """Return the number of all held requests."""
        return len(self._starting) + len(self._outdated)

    @property
    def next_due(self) -> float:
        """Return the monotonic time at which the next hold ends."""
        return min(self._starting.next_due, self._outdated.next_due)

    def admit(self, arrived: RequestArrived, now: float) -> ActiveRequest | None:
        """Return an admitted request; hold or refuse another one."""
        if not self._gate.is_ready(now):
            self._starting.add(HeldRequest.of(arrived, now))
            return None
        return self._admit(arrived, now, may_hold=True)

    def discard(self, request_id: RequestId) -> None:
        """Drop a held request whose caller no longer waits."""
        self._starting.discard(request_id)
        self._outdated.discard(request_id)

    def release(self, now: float) -> Iterator[ActiveRequest]:
        """Yield held requests that are admitted, and refuse those held too long.

        The time held counts towards the caller's deadline.
        """
        if not self.total_held:
            return
        is_ready = self._gate.is_ready(now)
        for held in self._starting.take(is_ready, now):
            if not is_ready:
                self._refuse(held.arrived, refusals.NOT_READY)
                continue
            request = self._admit(held.with_remaining_time(now), now, may_hold=True)
            if request is not None:
                yield request
        for held in self._outdated.take(not self._gate.is_catching_up(now), now):
            request = self._admit(held.with_remaining_time(now), now, may_hold=False)
            if request is not None:
                yield request

    def final_refusal(self, refusal: Refusal, now: float) -> Refusal:
        """Return the refusal to respond with, given what the host knows."""
        if refusal.kind not in refusals.SETTINGS_KINDS:
            return refusal
        if self._gate.is_up_to_date(now):
            return refusal
        return refusals.outdated_refusal(refusal)

    def _admit(
        self, arrived: RequestArrived, now: float, may_hold: bool
    ) -> ActiveRequest | None:
        admitted = self._admission.admit(arrived, now)
        if isinstance(admitted, Ok):
            return admitted.ok_value
        refusal = admitted.err_value
        depends_on_settings = refusal.kind in refusals.SETTINGS_KINDS
        if may_hold and depends_on_settings and self._gate.is_catching_up(now):
            held = HeldRequest.of(arrived, now, MAX_CATCH_UP_HOLD_SECONDS)
            self._outdated.add(held)
            return None
        self._refuse(arrived, self.final_refusal(refusal, now))
        return None

    def _refuse(self, arrived: RequestArrived, refusal: Refusal) -> None:
        self._outbox.add_directive(Refused(arrived.request_id, refusal))
