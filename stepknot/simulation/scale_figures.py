"""What a scale run measures: samples of its processes, and the figures made of them beside the model's."""

from __future__ import annotations

from pathlib import Path

import msgspec

from stepknot.simulation.scale_members import MembersState, resident

OWNED, KNOWN = 'stepknot_job_owned{job="drains"}', 'stepknot_job_known{job="drains"}'
EVENTS, STATES = 'stepknot_peers_events_total{what="', 'stepknot_peers{state="'


class BrokerState(msgspec.Struct, frozen=True):
    """A real broker, from /proc and its metrics. `cpu` in seconds, the rest in bytes and members."""

    cpu: float
    resident: int
    sent: int
    kept_back: int
    alive: int
    doubtful: int  # suspect or joining
    stood_still: int  # times that it found so of itself
    owns: bool  # the job
    knows_owner: bool

    def holds(self, size: int) -> bool:
        return self.alive == size and not self.doubtful


class Sample(msgspec.Struct, frozen=True):
    """`at` by the run's clock. None: a broker that did not answer in time."""

    at: float
    brokers: list[BrokerState | None]
    hosts: list[MembersState | None]

    @property
    def whole(self) -> bool:
        return None not in self.brokers and None not in self.hosts

    def settled(self, size: int) -> bool:
        """Whether all that are asked hold exactly so many to be alive, and none to be doubtful."""
        return all(each is not None and each.holds(size) for each in self.brokers) and all(
            each is not None and each.settled == each.outside for each in self.hosts
        )

    def owned(self) -> bool:
        """Whether one owns the job, and all real brokers hear of an owner."""
        owners = sum(each is not None and each.owns for each in self.brokers) + sum(
            len(each.owns) for each in self.hosts if each is not None
        )
        return owners == 1 and all(each is not None and each.knows_owner for each in self.brokers)

    def deaths(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for host in self.hosts:
            for name, count in (host.deaths if host is not None else {}).items():
                found[name] = found.get(name, 0) + count
        return found


def read_broker(process: int, metrics: str) -> BrokerState:
    values = {}
    for line in metrics.splitlines():
        if line.startswith(("stepknot_peers", "stepknot_job")):
            key, _, value = line.rpartition(" ")
            values[key] = int(float(value))

    def event(what: str) -> int:
        return values.get(f'{EVENTS}{what}"}}', 0)

    def members(state: str) -> int:
        return values.get(f'{STATES}{state}"}}', 0)

    return BrokerState(
        processor_time(process),
        resident(process),
        event("bytes"),
        event("kept back"),
        members("alive"),
        members("suspect") + members("joining"),
        event("stood still"),
        bool(values.get(OWNED)),
        bool(values.get(KNOWN)),
    )


def processor_time(process: int) -> float:
    """Seconds that a process had, in all its threads that are there: finer than the clock ticks of its `stat`, in which
    a quiet broker's control would not show."""
    return (
        sum(
            int(each.read_text().split()[0])
            for each in Path(f"/proc/{process}/task").glob("*/schedstat")
        )
        / 1e9
    )


OWNERS = ("owner", "owner_again")  # steps that are played with voters only


class Cost(msgspec.Struct, frozen=True):
    """Of one member's control in quiet: share of a core, bytes of memory, bytes sent a second."""

    cpu: float
    memory: float
    sent: float


class Times(msgspec.Struct, frozen=True):
    """Seconds until all views were right; none: not within the run's time, or not played."""

    start: float | None = None
    owner: float | None = (
        None  # from there until one owns the job, as all real brokers know; also not without voters
    )
    crash: float | None = None
    stall: float | None = None
    cut: float | None = None  # until all outside held those inside dead
    heal: float | None = None
    zone_lost: float | None = None
    zone_back: float | None = None
    restart: float | None = None  # the longest of the real brokers' restarts
    owner_again: float | None = None  # from the last restart


def shares(before: Sample, after: Sample) -> list[float]:
    """Of a core, that each real broker had between the two."""
    span = after.at - before.at
    return [
        (two.cpu - one.cpu) / span
        for one, two in zip(before.brokers, after.brokers, strict=True)
        if one and two
    ]


def broker_cost(before: Sample, after: Sample, alone: list[float], empty: list[int]) -> Cost:
    """The mean over real brokers. `alone`: their share of a core while no other member was there; `empty`: their memory
    then. What is over is control's."""
    span, count = after.at - before.at, len(alone)
    pairs = [
        (one, two) for one, two in zip(before.brokers, after.brokers, strict=True) if one and two
    ]
    return Cost(
        (sum(shares(before, after)) - sum(alone)) / count,
        (sum(two.resident for _, two in pairs) - sum(empty)) / count,
        sum(two.sent - one.sent for one, two in pairs) / span / count,
    )


def owner_rate(before: Sample, after: Sample) -> float:
    """Bytes of ownership that a simulated member sent a second, on the mean."""
    pairs = [(one, two) for one, two in zip(before.hosts, after.hosts, strict=True) if one and two]
    count = max(sum(two.running for _, two in pairs), 1)
    return (
        sum(two.owner_sent - one.owner_sent for one, two in pairs) / (after.at - before.at) / count
    )


def member_cost(before: Sample, after: Sample, empty: list[int]) -> Cost:
    """The mean over simulated members, of whose processes all is theirs but the memory before their start."""
    span = after.at - before.at
    pairs = [(one, two) for one, two in zip(before.hosts, after.hosts, strict=True) if one and two]
    count = max(sum(two.running for _, two in pairs), 1)
    return Cost(
        sum(two.cpu - one.cpu for one, two in pairs) / span / count,
        (sum(two.resident for _, two in pairs) - sum(empty)) / count,
        sum(two.sent - one.sent for one, two in pairs) / span / count,
    )
