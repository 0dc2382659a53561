"""Membership among the brokers of one fleet, without I/O and clock: SWIM with Lifeguard's and Rapid's additions.

`protocol.MembershipProtocol` composes the collaborators, each with one job. It takes datagrams and ticks, and returns
datagrams and state changes. `docs/membership.md` describes the protocol and lists all bounds in one table.

Each member has observers: its neighbours in some rings (`rings`). Observer and subject send each other heartbeats. A
heartbeat says when its sender last received something from the other, so each edge knows both directions. An observer
that receives nothing asks helpers for an indirect probe. A helper that has received nothing lately probes the
unresponsive member itself.

Invariants:

1. *Suspect*: no helper has an observation younger than `suspect_after`, and enough of them confirmed that. The
   suspicion spreads to all members and reaches the suspect, which refutes it with a greater incarnation.
2. *Dead*: the same with `dead_after`, and only by a member that is not isolated and did not stand still lately.
3. *Isolated*, of oneself: most neighbours are unresponsive, or say that they do not receive from this member, or half
   of all members are suspect or died lately. An isolated member declares nobody dead: from inside a cut, a fleet that
   died looks the same as a network that failed. Where many members fail at once, but not half, a death waits until all
   updates arrived and the neighbours' views agree.
4. *Standing still*: a member whose own clock jumped moves all its timeouts by the gap, and declares nobody suspect or
   dead for a while: the others' datagrams may wait unread in its own socket.
5. *Names*: of two processes with one name the one with the greater (epoch, birth) stays, and the other steps aside. A
   process that joins takes an epoch above all epochs that it is told of for its name.
6. *Counts*: the upper bound counts all members that did not announce their leave, the dead too, because a member that
   was cut off may live on. A new member was not told of the dead, so it counts the configured number as a minimum for
   as long as tombstones are kept. A member that was isolated for half of that time answers `UNBOUNDED`: before others
   stop counting it, it stops taking a share of anything.
"""
