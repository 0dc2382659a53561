"""The platform's protocol: a way into and out of the broker that the users' platform defines.

Clients send queries over HTTP/1.1, nodes are reached by frames over TCP, and discovery is an HTTP
service with a watch. Invariants, as tests and planted defects name them:

Watches of discovery:

1. There are three watches at most: the active one, and two that have not received their first event, of
   which the older one is slow. All others end when one of these receives it. Those that are being opened
   end when the address changes.
2. A failure is reported once for each `DiscoveryClient.open_watch`: of the watch being opened, which may
   go on as the slow one then, or of the active one while none is being opened.
3. Changes that are older than what is known, from a watch that another one overtook, change nothing.

Connections to nodes:

4. A part's id is the same in each attempt. A connection that carried an attempt carries no later one of
   the part, and a call carries one attempt of a part: no late or repeated answer is taken for another
   attempt's.
5. A call's frame is written when the connection is up and the kernel takes it. Parts whose frame the
   kernel did not take to its last byte never ran. After that, a connection that ends may have left any
   of its parts to run.
6. After bytes that the protocol does not allow, a connection is closed. What is in flight on it may have
   run.
7. Nothing begins that must not begin any more: a cancelled part, a part past its `not_after`, and a part
   whose node drains are removed from their frame while no byte of it was written. Where some bytes were,
   the connection ends before the last one is written.
8. A connection that is idle is closed before the node would close it.
9. A connection is unresponsive once something was sent on it and nothing came back for as long as a new
   connection may take to come up: a connection can fail while its node serves on others. It carries
   nothing new until it receives something. Once nothing waits on it, it is closed.

Watches and connections:

10. Nothing is decided on or written to a node while a watch received what is not applied, for the bounded
   times of `stepknot.decisions.send_hold`: a node that drains gets nothing new because the broker was busy.
"""
