"""The stages of a request, and the functions whose samples count for each."""

from __future__ import annotations

from dataclasses import dataclass

UNKNOWN_STAGE = "anything else"
PROGRAM_FOLDER = "loadbalancer/"

# Stages by file and function; the key "" is for all other functions of a file.
STAGES: dict[str, dict[str, str]] = {
    "loadbalancer/policy/policy.py": {
        "_end_period": "policy: period",
        "": "policy: rest",
    },
    "loadbalancer/policy/admission.py": {
        "move_cursor": "policy: period",
        "": "policy: admission",
    },
    "loadbalancer/policy/cursor_table.py": {
        "move": "policy: period",
        "_may_move_right": "policy: period",
        "": "policy: admission",
    },
    "loadbalancer/policy/tenant_quota.py": {"": "policy: admission"},
    "loadbalancer/policy/endpoint_set.py": {
        "in_flight": "policy: admission",
        "reports_in_flight": "policy: admission",
        "reporting": "policy: period",
        "expire_abandoned": "policy: period",
        "apply": "policy: rest",
        "_add_or_change": "policy: rest",
        "": "policy: outcome",
    },
    "loadbalancer/policy/tracked_endpoint.py": {
        "relist": "policy: rest",
        "expire_abandoned": "policy: period",
        "": "policy: outcome",
    },
    "loadbalancer/policy/attempts.py": {"": "policy: outcome"},
    "loadbalancer/policy/outcome_recorder.py": {"": "policy: outcome"},
    "loadbalancer/policy/completion_rate.py": {
        "observe": "policy: outcome",
        "is_starting": "policy: admission",
        "sustainable_in_flight": "policy: admission",
        "": "policy: period",
    },
    "loadbalancer/policy/latency_baseline.py": {
        "observe": "policy: outcome",
        "mean_ms": "policy: outcome",
        "relative": "policy: outcome",
        "between_baseline_and_objective": "policy: admission",
        "": "policy: period",
    },
    "loadbalancer/policy/load_signals.py": {
        "observe": "policy: outcome",
        "": "policy: period",
    },
    "loadbalancer/policy/load_estimator.py": {"": "policy: period"},
    "loadbalancer/policy/request_tracker.py": {
        "receive": "policy: admission",
        "finish_attempt": "policy: outcome",
        "": "policy: rest",
    },
    "loadbalancer/policy/request_state.py": {"": "policy: rest"},
    "loadbalancer/policy/retry_rules.py": {
        "candidate_endpoints": "policy: selection",
        "_in_deduplication_scope": "policy: selection",
        "": "policy: rest",
    },
    "loadbalancer/policy/selection.py": {
        "update_assumed_queue": "policy: period",
        "": "policy: selection",
    },
    "loadbalancer/policy/slow_start.py": {
        "update_usual_rate": "policy: period",
        "": "policy: selection",
    },
    "loadbalancer/policy/discovery_backoff.py": {"": "policy: rest"},
    "loadbalancer/http/listener.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/listening_sockets.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/eviction.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/request_timeouts.py": {"": "sweeps, heartbeat and statistics"},
    "loadbalancer/http/connection_registry.py": {
        "entered_until": "sweeps, heartbeat and statistics",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/server_connection.py": {
        "respond": "downstream: write the response",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/protocol.py": {
        "connection_made": "upstream: connect",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/response_head.py": {"": "downstream: write the response"},
    "loadbalancer/http/request.py": {
        "respond": "downstream: write the response",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/request_parser.py": {"": "downstream: parse and phase"},
    "loadbalancer/proxy/proxy.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/policy_runner.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_intake.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/membership.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_parsing.py": {"": "proxy: parse the request"},
    "loadbalancer/proxy/clock.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/pending_request.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_forwarding.py": {
        "encode_request": "proxy: encode the request",
        "": "proxy: events and actions",
    },
    "loadbalancer/proxy/statistics.py": {"": "sweeps, heartbeat and statistics"},
    "loadbalancer/proxy/upstream_attempt.py": {
        "_connect": "upstream: connect",
        "": "pool: attempts",
    },
    "loadbalancer/proxy/connection_pool.py": {
        "acquire_idle": "pool: acquire and release",
        "take_idle": "pool: acquire and release",
        "release": "pool: acquire and release",
        "add_idle": "pool: acquire and release",
        "ensure_capacity": "pool: evict idle",
        "_sweep": "sweeps, heartbeat and statistics",
        "connect": "upstream: connect",
        "": "pool: attempts",
    },
    "loadbalancer/http/client_connection.py": {
        "send_request": "upstream: write the request",
        "reusable": "pool: acquire and release",
        "abort": "upstream: close",
        "connection_lost": "upstream: close",
        "__init__": "upstream: connect",
        "": "upstream: parse the response",
    },
    "loadbalancer/http/response_parser.py": {
        "__init__": "upstream: connect",
        "start_response": "upstream: write the request",
        "": "upstream: parse the response",
    },
    "loadbalancer/http/socket_state.py": {"": "pool: acquire and release"},
    "loadbalancer/discovery/endpoint_list.py": {"": "discovery: watch"},
    "loadbalancer/discovery/watch_client.py": {"": "discovery: watch"},
    "loadbalancer/discovery/watch_request.py": {"": "discovery: watch"},
    "asyncio/base_events.py": {
        "create_connection": "upstream: connect",
        "_connect_sock": "upstream: connect",
        "": "asyncio: loop",
    },
    "asyncio/selector_events.py": {
        "_read_ready": "asyncio: receive",
        "_read_ready__get_buffer": "asyncio: receive",
        "_read_from_self": "sampling",
        "_process_self_data": "sampling",
        "_call_connection_lost": "upstream: close",
        "sock_connect": "upstream: connect",
        "_sock_connect": "upstream: connect",
        "_sock_connect_cb": "upstream: connect",
        "_sock_write_done": "upstream: connect",
        "__init__": "upstream: connect",
        "_add_reader": "upstream: connect",
        "_add_writer": "upstream: connect",
        "_remove_writer": "upstream: connect",
        "_ensure_fd_no_transport": "upstream: connect",
        "": "asyncio: loop",
    },
    "asyncio/unix_events.py": {"_process_self_data": "sampling", "": "asyncio: loop"},
    "asyncio/events.py": {"": "asyncio: loop"},
    "selectors.py": {"select": "asyncio: select", "": "asyncio: loop"},
}


@dataclass(frozen=True, slots=True)
class Stage:
    """The stage that a function's samples count for."""

    name: str
    in_program: bool  # whether it is a function of the proxy, not of a library


def stage_of_function(file: str, qualified_name: str) -> Stage:
    """Return a function's stage; a nested function has that of its outermost function."""
    name = qualified_name.split(".<locals>")[0].rpartition(".")[2]
    for path, functions in STAGES.items():
        if file.endswith("/" + path):
            return Stage(functions.get(name) or functions[""], path.startswith(PROGRAM_FOLDER))
    return Stage(UNKNOWN_STAGE, in_program=False)
