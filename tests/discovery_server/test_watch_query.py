"""Parsing of watch queries: defaults, limits, and the message for each malformed query."""

from __future__ import annotations

import pytest

from loadbalancer.discovery_server.watch_query import MAX_WAIT_MS, QueryError, WatchQuery, parse_query


@pytest.mark.parametrize(
    ("query", "parsed"),
    [
        pytest.param(b"", WatchQuery(None, 0), id="empty"),
        pytest.param(b"since=41&timeout_ms=20000", WatchQuery(41, 20000), id="both parameters"),
        pytest.param(b"timeout_ms=999999999&since=-1", WatchQuery(-1, 60000), id="a wait over the limit"),
        pytest.param(b"since=41&later=x", WatchQuery(41, 0), id="an unknown parameter"),
    ],
)
def test_query_is_parsed(query, parsed):
    assert parse_query(query) == parsed
    assert parsed.timeout_ms <= MAX_WAIT_MS


@pytest.mark.parametrize(
    ("query", "message"),
    [
        pytest.param(b"since=", "malformed `since`: .*, found b''", id="no revision"),
        pytest.param(b"since=x", "malformed `since`: .*, found b'x'", id="a string for a revision"),
        pytest.param(b"since=1&since=1", "`since` occurs twice", id="a repeated revision"),
        pytest.param(
            b"since=" + b"9" * 19, "malformed `since`: .* 1 to 18 digits", id="a revision of too many digits"
        ),
        pytest.param(b"timeout_ms=-1", "malformed `timeout_ms`: .*, found b'-1'", id="a negative wait"),
        pytest.param(b"timeout_ms=1&timeout_ms=2", "`timeout_ms` occurs twice", id="a repeated wait"),
        pytest.param(b"&", "malformed parameter b''", id="empty parts"),
        pytest.param(b"=1", "malformed parameter b'=1'", id="a value without a name"),
    ],
)
def test_malformed_query_is_rejected(query, message):
    with pytest.raises(QueryError, match=f"^watch query: {message}"):
        parse_query(query)
