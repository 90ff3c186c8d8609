"""Which requests a stopping host may still send to servers."""

from catkinspan.coordination.requests.const import DEADLINE_GRACE_SECONDS
from catkinspan.coordination.requests.errors import Ran
from catkinspan.coordination.requests.records import ActiveRequest


class HostStop:
    """The end of the host, which a request must not outlast.

    Example::

        stop = HostStop()
        stop.announce(now + 5.0)
        stop.may_send(request)  # False if its time limit ends later than that.
    """

    def __init__(self) -> None:
        self._stops_at = float("inf")

    def announce(self, stops_at: float) -> None:
        """Set the monotonic time in seconds at which the host cuts what still runs."""
        self._stops_at = stops_at

    def add_pause(self, gap: float) -> None:
        """Bring the end forward by a pause of `gap` seconds of this host's clock."""
        self._stops_at -= gap

    def may_send(self, request: ActiveRequest) -> bool:
        """Return whether the host can let a request end that it sends to a server.

        A request that may have run already can no longer be refused as not run, so its
        retries go on.
        """
        ends_by = request.deadline + DEADLINE_GRACE_SECONDS
        return ends_by <= self._stops_at or request.ran is not Ran.NO
