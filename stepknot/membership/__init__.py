"""Membership of the brokers of one fleet: SWIM with additions from Lifeguard and Rapid, without I/O and clock.

`protocol.MembershipProtocol` composes the collaborators, each with one responsibility. It takes datagrams and ticks,
and returns datagrams and state changes. `docs/membership.md` describes the protocol and lists all bounds in one table.

Each member has observers: its neighbours in several rings (`rings`). Observer and subject send each other heartbeats. A
heartbeat says when its sender last received something from its recipient, so both directions of each edge are known at
both ends. An observer that receives nothing from a subject asks helpers for an indirect probe. A helper that has not
received anything from the subject recently probes it as well.

Invariants:

1. *Suspect*: a member is declared suspect only if no helper has received anything from it within `suspect_after`, and
   enough helpers confirmed that. The suspicion spreads to all members and reaches the suspect, which refutes it with a
   greater incarnation.
2. *Dead*: the same holds for a death with `dead_after`, and only a member that is neither isolated nor was paused
   recently declares one.
3. *Isolated*: a member regards itself as isolated if most of its neighbours are unresponsive or report that they do not
   receive its datagrams, or if half of all members are suspect or were declared dead recently. An isolated member
   declares no member dead: from inside a partition, a crashed fleet looks the same as a failed network. Where many
   members fail at once, but fewer than half, a death is declared only after all updates have arrived and the
   neighbours' views agree.
4. *Process pause*: a member whose own clock jumped moves all its time-outs by the gap, and declares no member suspect
   or dead for a while, because the other members' datagrams may still be unread in its own socket.
5. *Names*: of two processes with one name, the one with the greater (epoch, birth) stays and the other leaves the
   protocol. A process that joins takes an epoch above all epochs that other members report for its name.
6. *Counts*: the upper bound counts all members that did not announce their leave. Dead members are included, because a
   member that was cut off may still run. A new member does not learn of members that died earlier, so it counts at
   least the configured number for as long as tombstones are kept. A member that has been isolated for half of that
   time answers `UNBOUNDED`, so it stops taking a share of anything before other members stop counting it.
"""
