"""Connections to the nodes: what is sent to them, what they reply, and how both travel.

- `transport`: what the core needs of the nodes' side, whichever protocol is spoken there;
- `codec`: parts, their replies, and the interface of a codec; `rest_codec`: the public REST protocol;
- `load_report`: the load that comes with a response; `errors`: malformed replies;
- `exchange`, `connection_pool`: one request and its response, and the connections that these use;
- `rest_transport`: the transport over HTTP, from calls of several parts to exchanges.
"""
