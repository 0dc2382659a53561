"""Asking a running broker by its admin socket, and what is shown of the answer."""

from __future__ import annotations

import http.client
from typing import Any

import orjson

TIME = 3.0  # seconds


def ask(
    admin: tuple[str, int],
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    time: float = TIME,
) -> dict[str, Any]:
    """Raises OSError where nothing answers, or not as a broker does; its text holds what the broker said."""
    connection = http.client.HTTPConnection(*admin, timeout=time)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
        if response.status != 200:
            raise OSError(f"status {response.status}: {data[:200].decode(errors='replace')}")
        found: dict[str, Any] = orjson.loads(data)
        return found
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(f"not a broker's answer: {error}") from None
    finally:
        connection.close()


def zone_table(found: dict[str, Any]) -> str:
    head = (
        f"{found['broker']} in zone {found['own'] or '-'}: "
        + (
            f"a zone is not sound; others get {found['spill']:.2f} times what they had at the most"
            if found["disturbed"]
            else "all zones sound"
        )
        + f"; {found['shed']} queries shed"
    )
    lines = [
        head,
        f"{'zone':<10} {'state':<10} {'tier':>4} {'boxes':>5} {'parts/s':>8} {'had':>8} {'allowed':>8} "
        f"{'ramp':>5} {'failing':>7}  why",
    ]
    for row in found["zones"]:
        allowed = "-" if row["allowed"] is None else f"{row['allowed']:.1f}"
        lines.append(
            f"{row['zone'] or '-':<10} {row['state']:<10} {row['tier']:>4} {row['boxes']:>5} "
            f"{row['rate']:>8.1f} {row['had']:>8.1f} {allowed:>8} {row['ramp']:>5.2f} "
            f"{row['failing']:>7.0%}  {row['why']}"
        )
    return "\n".join(lines)


def admission_table(found: dict[str, Any]) -> str:
    budgets, seats = found["budgets"], found["seats"]
    lines = [
        f"{found['broker']}: {sum(seats.values())} of {budgets['clients']} seats taken "
        f"({', '.join(f'{count} {rank}' for rank, count in seats.items())}; {found['reserve']} reserved), "
        f"{found['lane']} in the lane, {found['queries']} of {found['queries_most']} queries in work, "
        f"{found['bytes']} of {found['bytes_most']} bytes held",
        "descriptors: " + ", ".join(f"{name} {count}" for name, count in budgets.items()),
        "",
        f"{'decision':<42} {'count':>10}",
    ]
    lines += [
        f"{name:<42} {count:>10}"
        for name, count in sorted(found["decisions"].items(), key=lambda row: -row[1])
    ]
    lines += [
        f"{'without an answer: ' + name:<42} {count:>10}" for name, count in found["silent"].items()
    ]
    lines += ["", f"{'refused of late':<42} {'count':>10} {'at most over by':>16}"]
    lines += [
        f"{row['address']:<42} {row['of_late']:>10.1f} {row['error']:>16.1f}"
        for row in found["refused"]
    ]
    lines += ["", f"{'arriving':<42} {'a second':>10} {'at most over by':>16}"]
    lines += [
        f"{row['address']:<42} {row['a_second']:>10.1f} {row['error']:>16.1f}"
        for row in found["arriving"]
    ]
    lines += ["", f"{'connected':<42} {'seats':>10} {'known':>16}"]
    lines += [
        f"{row['address']:<42} {row['connections']:>10} {row['rank']:>16}"
        for row in found["connected"]
    ]
    lines += [f"{row['prefix']:<42} {row['connections']:>10}" for row in found["prefixes"]]
    lines += [
        f"{kind + ' ' + name:<42} until {until}"
        for kind in ("banned", "allowed")
        for name, until in found[kind].items()
    ]
    return "\n".join(lines)


def ago(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.1f}"


def peers_table(found: dict[str, Any]) -> str:
    """The members of one broker's view; ages in seconds."""
    sure = "sure" if found["sure"] else "not sure"
    head = (
        f"{found['name']} in fleet {found['fleet']}: {found['live']} alive, {found['suspect']} suspect; between "
        f"{found['at_least']} and {found['at_most']} brokers, {sure}; view {found['version']} {found['digest']}"
    )
    lines = [head]
    if found["stepped_aside"] or found["isolated"]:
        lines.append(
            f"{'STEPPED ASIDE' if found['stepped_aside'] else 'ISOLATED'}: {found['isolated_why']}"
        )
    lines.append(
        f"{'member':<24} {'state':<8} {'address':<22} {'epoch':>14} {'inc':>4} {'heard':>7} {'sign':>7} "
        f"{'hears me':>8}"
    )
    for row in found["members"]:
        name = row["name"] + (" *" if row["self"] else "")
        lines.append(
            f"{name:<24} {row['state']:<8} {row['address']:<22} {row['epoch']:>14} {row['incarnation']:>4} "
            f"{ago(row['heard']):>7} {ago(row['sign']):>7} {ago(row['hears_me']):>8}"
        )
    return "\n".join(lines)


def peer_story(found: dict[str, Any], name: str) -> str | None:
    """The evidence for one member's state; none where it is unknown."""
    for row in found["members"]:
        if row["name"] == name:
            watched = (
                f"watched here: heard {ago(row['heard'])} s ago, last sign of life {ago(row['sign'])} s ago"
                f" ({row['sign_by'] or 'none'}), it heard this broker {ago(row['hears_me'])} s ago"
                if row["watched"]
                else "watched by others; what is known here is what they spread"
            )
            return (
                f"{name} is {row['state']} since {ago(row['since'])} s, as seen by {found['name']}\n"
                f"why: {row['why']}\n{watched}"
            )
    return None


def subset_table(found: dict[str, Any]) -> str:
    """The nodes that one broker uses, by zone."""
    if found["off"]:
        return (
            f"{found['broker']}: ALL {found['nodes']} NODES ARE USED, for a defect: {found['off']}"
        )
    changes = ", ".join(f"{count} by {cause}" for cause, count in found["changes"].items() if count)
    lines = [
        f"{found['broker']} as {found['identity']} in zone {found['zone'] or '-'}, one of {found['instances']} "
        f"brokers: {found['quota_least']} to {found['quota_greatest']} warm nodes a cell in {found['cells']} cells"
        + (", at work on a list" if found["busy"] else ""),
        f"changes of cells: {changes or 'none'}; {found['left_out']} entries left out; longest slice "
        f"{1000 * found['longest_slice']:.1f} ms",
        f"{'zone':<12} {'tier':>4} {'listed':>7} {'live':>7} {'warm':>6} {'cold':>6} {'draining':>8}",
    ]
    lines += [
        f"{row['zone'] or '-':<12} {row['tier']:>4} {row['listed']:>7} {row['live']:>7} {row['warm']:>6} "
        f"{row['cold']:>6} {row['draining']:>8}"
        for row in found["zones"]
    ]
    return "\n".join(lines)


def subset_story(found: dict[str, Any]) -> str:
    """Why one node is, or is not, in use."""
    why = found["why"]
    lines = [
        f"{why['server']} is {'in use' if why['held'] else 'not in use'} by {found['broker']}: {why['word']}",
        f"by preference {why['place'] + 1} of {why['nodes']} nodes of cell {why['cell']} ({why['live']} live, "
        f"{why['quota']} warm ones wanted); zone {why['zone'] or '-'}, tier {why['tier']}, "
        f"score {why['score']:.4g}",
    ]
    if why["cold_share"] < 1 or why["sharers"]:
        lines.append(
            f"it is cold: {why['cold_share']:.2%} of brokers may send to it"
            + (
                f"; this one takes a part in {why['sharers']:.1f} of its budget"
                if why["sharers"]
                else ""
            )
        )
    return "\n".join(lines)


def owner_table(found: dict[str, Any]) -> str:
    """Who owns each job, as one broker knows it, and the first job's state."""
    voter = found["voter"]
    word = (
        "holds no vote"
        if voter is None
        else (
            f"votes, life {voter['life']}, {voter['saves']} saves"
            if voter["votes"]
            else f"DOES NOT VOTE: {voter['broken'] or 'it lost its memory and is on its way back'}"
        )
    )
    lines = [
        f"{found['name']} {word}; voters {', '.join(found['voters'])}; lease {found['lease']:g} s",
        f"{'job':<12} {'owner':<16} {'epoch':>7} {'heard':>7} {'since':>8} {'till':>6} {'record':>12}  why",
    ]
    for row in found["jobs"]:
        record = "-" if row["version"] is None else "{}.{}".format(*row["version"])
        lines.append(
            f"{row['job']:<12} {(row['owner'] or 'NOBODY') + (' *' if row['here'] else ''):<16} "
            f"{row['epoch']:>7} {ago(row['heard']):>7} {ago(row['since']):>8} {ago(row['till']):>6} "
            f"{record:>12}  {row['why']}"
        )
    return "\n".join([*lines, drain_line(found["drains"])])


def drain_line(state: dict[str, Any] | None) -> str:
    if state is None or state["drain"] is None:
        return "no drain was ordered"
    drain = state["drain"]
    return (
        f"drain of zone {drain['zone']}, {drain['at_most']} at once, every {drain['every']:g} s: {state['status']}"
        f"{' (' + state['why'] + ')' if state['why'] else ''}; out: {', '.join(state['out']) or 'none'}; "
        f"last {state['cursor'] or '-'}; {state['steps']} steps"
    )


def owner_story(found: dict[str, Any], job: str) -> str | None:
    """Why this broker holds that of a job; none where it is unknown."""
    for row in found["jobs"]:
        if row["job"] == job:
            lines = [
                f"{job}: owner {row['owner'] or 'unknown'} by the word of epoch {row['epoch']}, heard "
                f"{ago(row['heard'])} s ago; last named owner {row['last_owner'] or 'none'}",
                f"here: {row['phase']}, greatest epoch known {row['known_epoch']}; "
                f"granted by {', '.join(row['granted_by']) or 'nobody'}; last: {row['why'] or 'nothing'}",
                f"record {row['version']}; {'a' if row['ready'] else 'NOT READY: no'} majority of voters was read "
                f"since the start; {row['older_refused']} older ones refused",
            ]
            return "\n".join(lines)
    return None
