"""The usage that other instances have reported of one organisation."""

from collections.abc import Iterator

from egrethall.quota._usage import PeerUsage, UsageReport


class PeerUsages:
    """Keeps the last usage of each other instance, and only the runs of idle ones.

    Most instances of a large fleet have no requests of an organisation. A whole usage
    of each would fill the memory.
    """

    def __init__(self) -> None:
        self._usages: dict[str, PeerUsage] = {}
        #: Runs of the instances that have no requests of the organisation.
        self._idle_runs: dict[str, int] = {}

    def __iter__(self) -> Iterator[PeerUsage]:
        """Iterates over the usages, without those of idle instances."""
        return iter(self._usages.values())

    def find(self, name: str) -> PeerUsage | None:
        """Returns the last usage of an instance; None if it is idle or unknown."""
        return self._usages.get(name)

    def is_outdated(self, report: UsageReport) -> bool:
        """Returns whether a later report of the same run has arrived before."""
        known = self._usages.get(report.name)
        return (
            known is not None
            and known.run == report.run
            and report.sequence <= known.sequence
        )

    def record(self, report: UsageReport, now_seconds: float) -> None:
        """Replaces the usage of the instance that sent ``report``."""
        usage = report.usage
        peer = PeerUsage(
            report.run,
            report.sequence,
            usage.period,
            usage.admitted,
            usage.demand_per_second,
            now_seconds,
        )
        previous = self._usages.get(report.name)
        if previous is not None:
            peer.smoothed_demand = previous.smoothed_demand
            peer.collected_at_seconds = previous.collected_at_seconds
        peer.smoothed_demand.add(usage.demand_per_second)
        self._usages[report.name] = peer
        self._idle_runs.pop(report.name, None)

    def was_collected(self, name: str, since_seconds: float) -> bool:
        """Returns whether an instance has reported to this one as the collector.

        :param since_seconds: clock reading from which reports are considered.
        """
        known = self._usages.get(name)
        return known is not None and known.collected_at_seconds >= since_seconds

    def record_collected(self, name: str, now_seconds: float) -> None:
        """Records that an instance has reported to this one as the collector."""
        self._usages[name].collected_at_seconds = now_seconds

    def record_idle(self, name: str, run: int) -> None:
        """Replaces what is kept of an instance by its run."""
        self._usages.pop(name, None)
        self._idle_runs[name] = run

    def remove(self, name: str) -> None:
        """Removes an instance."""
        self._usages.pop(name, None)
        self._idle_runs.pop(name, None)

    def restore_idle(self, names: frozenset[str], now_seconds: float) -> None:
        """Keeps a usage without requests for those of ``names`` that are idle."""
        for name in names & self._idle_runs.keys():
            run = self._idle_runs.pop(name)
            self._usages[name] = PeerUsage(run, 0, 0, 0, 0.0, now_seconds)

    def find_newly_silent(self, silent: frozenset[str]) -> list[PeerUsage]:
        """Returns the usages of ``silent`` instances without a reservation yet."""
        return [
            peer
            for name in silent
            if (peer := self._usages.get(name)) and peer.silent_since_seconds is None
        ]

    def list_reachable(self) -> list[PeerUsage]:
        """Returns the usages of the reachable instances, without idle ones."""
        return [p for p in self if p.silent_since_seconds is None]

    def count_reachable(self) -> int:
        """Returns the number of the reachable instances, idle ones included."""
        return len(self.list_reachable()) + len(self._idle_runs)
