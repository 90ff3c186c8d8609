"""Probes in flight and the results of recent ones."""

from collections import deque

from attrs import define

from catkinspan.coordination.membership.const import (
    INDIRECT_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    PROBES_PER_SECOND,
)
from catkinspan.state.ids import HostId

_SAMPLES_KEPT = 32 * PROBES_PER_SECOND


@define
class ProbeInFlight:
    """A probe whose result is open."""

    sequence: int
    target: HostId
    sent_at: float
    counted: bool
    """Whether the result counts for the connectivity."""

    asked_helpers: bool = False
    answered_indirectly: bool = False
    heard_directly: bool = False
    """Whether the target's own ack to a relayed probe arrived."""


@define
class _Sample:
    target: HostId
    sent_at: float
    acked: bool = False


class ProbeLedger:
    """Keeps the probes in flight and the share of peers that acked.

    A contact is dated by the sending of the probe, not by the arrival of its ack, so
    an ack that was held up during a pause proves nothing about the present.
    """

    def __init__(self) -> None:
        self._sequence = 0
        self._in_flight: dict[int, ProbeInFlight] = {}
        self._samples: deque[_Sample] = deque(maxlen=_SAMPLES_KEPT)
        self._sample_of: dict[int, _Sample] = {}

    def open(self, target: HostId, counted: bool, now: float) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        sequence = self._sequence
        self._in_flight[sequence] = ProbeInFlight(sequence, target, now, counted)
        if counted:
            sample = _Sample(target, now)
            self._samples.append(sample)
            self._sample_of[sequence] = sample
        return sequence

    def get(self, sequence: int, target: HostId) -> ProbeInFlight | None:
        """Return a probe in flight to the target."""
        probe = self._in_flight.get(sequence)
        if probe is None or probe.target != target:
            return None
        return probe

    def acked(self, probe: ProbeInFlight) -> None:
        """Close a probe that the target acked directly."""
        if sample := self._sample_of.get(probe.sequence):
            sample.acked = True
        self._close(probe)

    def direct_timeouts(self, now: float) -> list[ProbeInFlight]:
        """Return probes that need helpers now."""
        limit = now - PROBE_TIMEOUT_SECONDS
        due = [
            probe
            for probe in self._in_flight.values()
            if not probe.asked_helpers and probe.sent_at <= limit
        ]
        for probe in due:
            probe.asked_helpers = True
        return due

    def concluded(self, now: float) -> list[ProbeInFlight]:
        """Close and return the probes that got no direct ack in the whole time."""
        limit = now - PROBE_TIMEOUT_SECONDS - INDIRECT_TIMEOUT_SECONDS
        due = [p for p in self._in_flight.values() if p.sent_at <= limit]
        for probe in due:
            self._close(probe)
        return due

    def forget_in_flight(self) -> None:
        """Drop the probes in flight, whose missing acks prove nothing."""
        for probe in list(self._in_flight.values()):
            if sample := self._sample_of.get(probe.sequence):
                self._samples.remove(sample)
            self._close(probe)

    def acked_share(self, window: float, now: float) -> float:
        """Return the share of peers probed in the window that acked."""
        acked: dict[HostId, bool] = {}
        for sample in reversed(self._samples):
            if sample.sent_at < now - window:
                break
            if sample.acked or sample.sent_at <= now - PROBE_TIMEOUT_SECONDS:
                acked[sample.target] = acked.get(sample.target, False) or sample.acked
        if not acked:
            return 0.0
        return sum(acked.values()) / len(acked)

    def _close(self, probe: ProbeInFlight) -> None:
        del self._in_flight[probe.sequence]
        self._sample_of.pop(probe.sequence, None)
