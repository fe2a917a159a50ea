"""Encodes the head of a response to a downstream client."""

from __future__ import annotations

from http import HTTPStatus


def encode_response_head(status: int, body_bytes: int, retry_after_ms: float, *, close: bool) -> bytes:
    """Encode the status line and headers; `close` announces the end of the connection after the response."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {body_bytes}"]
    if retry_after_ms > 0.0:
        lines.append(f"Retry-After: {retry_after_ms / 1000.0:.3f}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
