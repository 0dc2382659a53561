"""Views of a running broker as text for a terminal."""

from __future__ import annotations

from stepknot.cli.views import (
    AdmissionView,
    DrainState,
    JobRow,
    LeasesView,
    MembersView,
    SubsetView,
    VoterView,
    ZonesView,
)


def format_age(seconds: float | None) -> str:
    """Seconds with one decimal; a dash where it never was."""
    return "-" if seconds is None else f"{seconds:.1f}"


def zones_table(view: ZonesView) -> str:
    """State, rates and bounds of each zone."""
    state = (
        f"a zone is not sound; others get {view.spill:.2f} times what they had at the most"
        if view.disturbed
        else "all zones sound"
    )
    lines = [
        f"{view.broker} in zone {view.own or '-'}: {state}; {view.shed} queries shed",
        f"{'zone':<10} {'state':<10} {'tier':>4} {'boxes':>5} {'parts/s':>8} {'had':>8} {'allowed':>8} "
        f"{'ramp':>5} {'failing':>7}  why",
    ]
    for row in view.zones:
        allowed = "-" if row.allowed is None else f"{row.allowed:.1f}"
        lines.append(
            f"{row.zone or '-':<10} {row.state:<10} {row.tier:>4} {row.boxes:>5} "
            f"{row.rate:>8.1f} {row.had:>8.1f} {allowed:>8} {row.ramp:>5.2f} "
            f"{row.failing:>7.0%}  {row.why}"
        )
    return "\n".join(lines)


def admission_table(view: AdmissionView) -> str:
    """Budgets, decisions with their counts, and the addresses that do most."""
    ranks = ", ".join(f"{count} {rank}" for rank, count in view.seats.items())
    lines = [
        f"{view.broker}: {sum(view.seats.values())} of {view.budgets['clients']} seats taken "
        f"({ranks}; {view.reserve} reserved), "
        f"{view.lane} in the lane, {view.queries} of {view.queries_most} queries in work, "
        f"{view.bytes} of {view.bytes_most} bytes held",
        "descriptors: " + ", ".join(f"{name} {count}" for name, count in view.budgets.items()),
        "",
        f"{'decision':<42} {'count':>10}",
    ]
    decisions = sorted(view.decisions.items(), key=lambda row: -row[1])
    lines += [f"{name:<42} {count:>10}" for name, count in decisions]
    lines += [
        f"{'without an answer: ' + name:<42} {count:>10}" for name, count in view.silent.items()
    ]
    return "\n".join([*lines, *_address_lines(view), *_network_lines(view)])


def _address_lines(view: AdmissionView) -> list[str]:
    """Addresses and prefixes that were rejected, arrive or are connected most."""
    return [
        "",
        f"{'refused of late':<42} {'count':>10} {'at most over by':>16}",
        *(f"{row.address:<42} {row.of_late:>10.1f} {row.error:>16.1f}" for row in view.refused),
        "",
        f"{'arriving':<42} {'a second':>10} {'at most over by':>16}",
        *(f"{row.address:<42} {row.a_second:>10.1f} {row.error:>16.1f}" for row in view.arriving),
        "",
        f"{'connected':<42} {'seats':>10} {'known':>16}",
        *(f"{row.address:<42} {row.connections:>10} {row.rank:>16}" for row in view.connected),
        *(f"{row.prefix:<42} {row.connections:>10}" for row in view.prefixes),
    ]


def _network_lines(view: AdmissionView) -> list[str]:
    """Networks that an operator banned or allowed, with the end of each."""
    return [
        f"{kind + ' ' + name:<42} until {until}"
        for kind, networks in (("banned", view.banned), ("allowed", view.allowed))
        for name, until in networks.items()
    ]


def members_table(view: MembersView) -> str:
    """The fleet's members as one broker sees them."""
    lines = [
        f"{view.name} in fleet {view.fleet}: {view.live} alive, {view.suspect} suspect; between "
        f"{view.at_least} and {view.at_most} brokers, {'sure' if view.sure else 'not sure'}; "
        f"view {view.version} {view.digest}"
    ]
    if view.stepped_aside or view.isolated:
        lines.append(
            f"{'STEPPED ASIDE' if view.stepped_aside else 'ISOLATED'}: {view.isolated_why}"
        )
    lines.append(
        f"{'member':<24} {'state':<8} {'address':<22} {'epoch':>14} {'inc':>4} {'heard':>7} {'sign':>7} "
        f"{'hears me':>8}"
    )
    for row in view.members:
        name = row.name + (" *" if row.is_self else "")
        lines.append(
            f"{name:<24} {row.state:<8} {row.address:<22} {row.epoch:>14} {row.incarnation:>4} "
            f"{format_age(row.heard):>7} {format_age(row.sign):>7} {format_age(row.hears_me):>8}"
        )
    return "\n".join(lines)


def explain_member(view: MembersView, name: str) -> str | None:
    """The evidence for one member's state; none where it is unknown."""
    for row in view.members:
        if row.name == name:
            watched = (
                f"watched here: heard {format_age(row.heard)} s ago, last sign of life "
                f"{format_age(row.sign)} s ago ({row.sign_by or 'none'}), it heard this broker "
                f"{format_age(row.hears_me)} s ago"
                if row.watched
                else "watched by others; what is known here is what they spread"
            )
            return (
                f"{name} is {row.state} since {format_age(row.since)} s, as seen by {view.name}\n"
                f"why: {row.why}\n{watched}"
            )
    return None


def subset_table(view: SubsetView) -> str:
    """The nodes that one broker uses, by zone."""
    if view.off:
        return f"{view.broker}: ALL {view.nodes} NODES ARE USED, for a defect: {view.off}"
    changes = ", ".join(f"{count} by {cause}" for cause, count in view.changes.items() if count)
    lines = [
        f"{view.broker} as {view.identity} in zone {view.zone or '-'}, one of {view.instances} "
        f"brokers: {view.quota_least} to {view.quota_greatest} warm nodes a cell in {view.cells} cells"
        + (", at work on a list" if view.busy else ""),
        f"changes of cells: {changes or 'none'}; {view.left_out} entries left out; longest slice "
        f"{1000 * view.longest_slice:.1f} ms",
        f"{'zone':<12} {'tier':>4} {'listed':>7} {'live':>7} {'warm':>6} {'cold':>6} {'draining':>8}",
    ]
    lines += [
        f"{row.zone or '-':<12} {row.tier:>4} {row.listed:>7} {row.live:>7} {row.warm:>6} "
        f"{row.cold:>6} {row.draining:>8}"
        for row in view.zones
    ]
    return "\n".join(lines)


def explain_node(view: SubsetView) -> str | None:
    """Why one node is, or is not, in use; none where no node was asked for."""
    why = view.why
    if why is None:
        return None
    lines = [
        f"{why.server} is {'in use' if why.held else 'not in use'} by {view.broker}: {why.word}",
        f"by preference {why.place + 1} of {why.nodes} nodes of cell {why.cell} ({why.live} live, "
        f"{why.quota} warm ones wanted); zone {why.zone or '-'}, tier {why.tier}, "
        f"score {why.score:.4g}",
    ]
    if why.cold_share < 1 or why.sharers:
        part = f"; this one takes a part in {why.sharers:.1f} of its budget" if why.sharers else ""
        lines.append(f"it is cold: {why.cold_share:.2%} of brokers may send to it{part}")
    return "\n".join(lines)


def leases_table(view: LeasesView) -> str:
    """Who holds each job's lease, as one broker knows it, and the rolling drain's state."""
    lines = [
        f"{view.name} {_voter_text(view.voter)}; voters {', '.join(view.voters)}; lease {view.lease:g} s",
        f"{'job':<12} {'owner':<16} {'epoch':>7} {'heard':>7} {'since':>8} {'till':>6} {'record':>12}  why",
    ]
    for row in view.jobs:
        owner = (row.owner or "NOBODY") + (" *" if row.here else "")
        record = "-" if row.version is None else ".".join(map(str, row.version))
        lines.append(
            f"{row.job:<12} {owner:<16} {row.epoch:>7} {format_age(row.heard):>7} "
            f"{format_age(row.since):>8} {format_age(row.till):>6} {record:>12}  {row.why}"
        )
    return "\n".join([*lines, drain_line(view.drains)])


def _voter_text(voter: VoterView | None) -> str:
    if voter is None:
        return "holds no vote"
    if voter.votes:
        return f"votes, life {voter.life}, {voter.saves} saves"
    return f"DOES NOT VOTE: {voter.broken or 'it lost its memory and is on its way back'}"


def drain_line(state: DrainState | None) -> str:
    """The rolling drain's order and progress in one line."""
    if state is None or state.drain is None:
        return "no drain was ordered"
    drain = state.drain
    return (
        f"drain of zone {drain.zone}, {drain.at_most} at once, every {drain.every:g} s: {state.status}"
        f"{' (' + state.why + ')' if state.why else ''}; out: {', '.join(state.out) or 'none'}; "
        f"last {state.cursor or '-'}; {state.steps} steps"
    )


def explain_lease(view: LeasesView, job: str) -> str | None:
    """Why this broker knows that lease holder of a job; none where the job is unknown."""
    row = next((each for each in view.jobs if each.job == job), None)
    return None if row is None else _lease_evidence(row)


def _lease_evidence(row: JobRow) -> str:
    record = None if row.version is None else list(row.version)
    return (
        f"{row.job}: owner {row.owner or 'unknown'} by the word of epoch {row.epoch}, heard "
        f"{format_age(row.heard)} s ago; last named owner {row.last_owner or 'none'}\n"
        f"here: {row.phase}, greatest epoch known {row.known_epoch}; "
        f"granted by {', '.join(row.granted_by) or 'nobody'}; last: {row.why or 'nothing'}\n"
        f"record {record}; {'a' if row.ready else 'NOT READY: no'} majority of voters was read "
        f"since the start; {row.older_refused} older ones refused"
    )
