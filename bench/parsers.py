"""Which HTTP parser: whole requests a second through httptools (as `net/http.py` uses it) and through h11."""

from __future__ import annotations

import time

import h11

from stepknot.net.http import HttpLimits, ServerParser

BODY = b'{"query": {"match": {"title": "gambit"}}, "size": 10}'
REQUEST = (
    b"POST /reports/_search HTTP/1.1\r\nhost: localhost:9200\r\nuser-agent: opensearch-py/3.2.0\r\n"
    b"content-type: application/json\r\naccept-encoding: gzip, deflate\r\nx-opaque-id: q1\r\n"
    b"content-length: %d\r\n\r\n" % len(BODY)
) + BODY


def by_httptools(count: int) -> None:
    parser = ServerParser(HttpLimits())
    for _ in range(count):
        parser.feed(REQUEST)
        assert parser.requests.pop(0).body == BODY


def by_h11(count: int) -> None:
    connection = h11.Connection(h11.SERVER)
    for _ in range(count):
        connection.receive_data(REQUEST)
        request, data = connection.next_event(), connection.next_event()
        assert isinstance(request, h11.Request) and isinstance(data, h11.Data) and data.data == BODY
        assert isinstance(connection.next_event(), h11.EndOfMessage)
        connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()


def main() -> None:
    rates: dict[str, list[float]] = {"httptools": [], "h11": []}
    for _ in range(5):
        for name, parse in (("httptools", by_httptools), ("h11", by_h11)):
            begun = time.process_time()
            parse(4000)
            rates[name].append(4000 / (time.process_time() - begun))
    one, two = (sorted(each)[2] for each in rates.values())
    print(
        f"httptools {one:.0f} requests a second of CPU, h11 {two:.0f}: {one / two:.1f} times (medians of 5)"
    )


if __name__ == "__main__":
    main()
