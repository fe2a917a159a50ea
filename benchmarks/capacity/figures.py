"""The load of each role at the target size, as figures computed from the results of runs.

A figure without a result file is "not measured"; one whose mechanism is not implemented is "missing".
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from benchmarks.capacity.result_files import ResultFiles

# The operators' plan for the next two years.
NODES = 17_000
SERVICES = 1_300
REGIONS = 11
ZONES = 29
CONTROL_MACHINES = 45
REQUESTS_PER_S = 170.0  # to each node
CHANGES_PER_S = 7_200 / 86_400
MEAN_SERVICE = 13  # servers
LARGEST_SERVICE = 1_000  # servers
ZONE_LOSS = round(NODES / ZONES)  # entries removed at the same time
# Watches of one control machine after the loss of one region.
WATCHES = round(NODES / (CONTROL_MACHINES * (REGIONS - 1) / REGIONS))

# The operators' budgets.
ADDED_P99_BUDGET_US = 330
LIST_SIZE_COST_BUDGET = 1.1  # ratio of the cost with the largest list to that with one of average size
CONTROL_BUDGET_CORES = 0.027
CONTROL_BUDGET_BYTES_PER_S = 2000
CONTROL_BUDGET_MB = 128
DISCOVERY_SERVER_BUDGET_CORES = 1.0
PROPAGATION_BUDGET_S = 8
PROPAGATION_BUDGET_MS = 8000

DISCOVERY_SERVER = "discovery server"  # a role

# Result files.
DATA_PATH = "datapath"
QUIET_DATA_PATH = "datapath-quiet"
CONTROL = "control"
ONE_LIST = "hollow-directory-one"
FLEET_CHAIN = "hollow-chain-fleet"
MODEL = "model"

# Mechanisms that figures depend on, and their files.
EVENT_LOOP = "event loop and streams, `http/`"
SELECTION = "ranked pick, `policy/selection.py`"
WATCH = "watch, `watch_client.py`"
WATCH_REGISTRY = "`watch_registry.py`"
ENDPOINT_STORE = "`endpoint_store.py`"
SNAPSHOT_STORE = "`snapshot_store.py`"
UPSTREAM_FOLLOWER = "`upstream_follower.py`"
CONNECTION_POOL = "missing: subsets; pool, `connection_pool.py`"
SUBSETS = "missing: subsets"
RETRY_BUDGET = "missing: a retry budget"
ADMISSION = "admission, `policy/admission.py`"
NOT_IMPLEMENTED = "none yet"


@dataclass(frozen=True, slots=True)
class CapacityFigure:
    """One figure at the target size."""

    role: str
    quantity: str
    value: float | None  # None: see `reason`
    unit: str
    budget: float | None  # None: no budget is set
    mechanism: str  # the mechanism that the figure depends on, and its file
    run: str  # the result file that the figure is computed from
    reason: str = "not measured"

    @property
    def verdict(self) -> str:
        """Whether the figure is within its budget, as text for the table."""
        if self.value is None:
            return self.reason
        if self.budget is None:
            return "no budget set"
        ratio = self.value / self.budget
        return f"met, {ratio:.2g} of it" if ratio <= 1.0 else f"not met, {ratio:.2g} times"

    def line(self) -> str:
        """Return the figure's line of the table."""
        value = "" if self.value is None else f"{self.value:.3g} {self.unit}".strip()
        budget = "" if self.budget is None else f"{self.budget:g} {self.unit}".strip()
        cells = (self.role, self.quantity, value, budget, self.verdict, self.mechanism, self.run)
        return f"| {' | '.join(cells)} |"


def _ratio(value: float | None, divisor: float | None) -> float | None:
    return None if value is None or not divisor else value / divisor


def _thousandth(value: float | None) -> float | None:
    """Convert milliseconds to seconds, or milliseconds per second to cores."""
    return _ratio(value, 1000.0)


def data_path_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the cost of requests for a node."""
    mean: dict[str, float | str] = {"list": MEAN_SERVICE, "rate_per_s": REQUESTS_PER_S}
    largest: dict[str, float | str] = {"list": LARGEST_SERVICE, "rate_per_s": REQUESTS_PER_S}
    added_us = results.figure(QUIET_DATA_PATH, "round_added_p99_us", mean)
    cost_us = results.figure(DATA_PATH, "cpu_us", mean)
    cost_ratio = _ratio(results.figure(DATA_PATH, "cpu_us", largest), cost_us)
    cores = None if cost_us is None else cost_us * REQUESTS_PER_S / 1e6
    added_name = f"added at p99, {REQUESTS_PER_S:g}/s, {MEAN_SERVICE} servers"
    cost_name = f"processor time a request, {MEAN_SERVICE} servers"
    ratio_name = f"{LARGEST_SERVICE} servers to {MEAN_SERVICE}"
    cores_name = f"data path, {REQUESTS_PER_S:g} requests/s"
    return [
        CapacityFigure("node", added_name, added_us, "µs", ADDED_P99_BUDGET_US, EVENT_LOOP, QUIET_DATA_PATH),
        CapacityFigure("node", cost_name, cost_us, "µs", None, EVENT_LOOP, DATA_PATH),
        CapacityFigure("node", ratio_name, cost_ratio, "times", LIST_SIZE_COST_BUDGET, SELECTION, DATA_PATH),
        CapacityFigure("node", cores_name, cores, "cores", None, EVENT_LOOP, DATA_PATH),
    ]


def control_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the cost for a node of following the largest list."""
    largest: dict[str, float | str] = {"list": LARGEST_SERVICE, "changes_per_s": CHANGES_PER_S}
    core_slope = f"core over servers at {CHANGES_PER_S:.4g} changes a second"
    cores = results.slope_at(CONTROL, core_slope, LARGEST_SERVICE)
    bytes_per_s = results.figure(CONTROL, "bytes_per_s", largest)
    memory_mb = results.slope_at(CONTROL, "mb over servers", LARGEST_SERVICE)
    loss_ms = results.slope_at(CONTROL, "loss: cpu_ms over entries", ZONE_LOSS)
    size = f"a list of {LARGEST_SERVICE}"
    loss_name = f"a zone's loss, {ZONE_LOSS} entries"
    return [
        CapacityFigure("node", f"control, {size}", cores, "cores", CONTROL_BUDGET_CORES, WATCH, CONTROL),
        CapacityFigure(
            "node", f"control, bytes, {size}", bytes_per_s, "B/s", CONTROL_BUDGET_BYTES_PER_S, WATCH, CONTROL
        ),
        CapacityFigure("node", f"memory, {size}", memory_mb, "MB", CONTROL_BUDGET_MB, WATCH, CONTROL),
        CapacityFigure("node", loss_name, loss_ms, "ms", None, WATCH, CONTROL),
    ]


def discovery_server_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the cost for a discovery server of one machine's watches."""
    return [*_steady_watch_figures(results), *_watch_event_figures(results)]


def _steady_watch_figures(results: ResultFiles) -> list[CapacityFigure]:
    cores = _thousandth(results.slope_at(ONE_LIST, "calm_directory_cpu_ms_per_s", WATCHES))
    fleet_cores = _thousandth(results.maximum(FLEET_CHAIN, "calm_zone_cpu_ms_per_s"))  # not linear
    memory_mib = results.slope_at(ONE_LIST, "directory_rss_mib", WATCHES)
    fleet_memory_mib = results.maximum(FLEET_CHAIN, "zone_rss_mib")
    bytes_per_s = results.slope_at(ONE_LIST, "calm_bytes_out_per_s", WATCHES)
    one = f"{WATCHES} watches, one list"
    fleet = f"all {SERVICES} lists"
    fleet_name = f"{fleet}, up to 4000 watches, worst"
    budget_cores = DISCOVERY_SERVER_BUDGET_CORES
    figure = partial(CapacityFigure, DISCOVERY_SERVER)
    return [
        figure(one, cores, "cores", budget_cores, WATCH_REGISTRY, ONE_LIST),
        figure(fleet_name, fleet_cores, "cores", budget_cores, WATCH_REGISTRY, FLEET_CHAIN),
        figure(f"memory, {one}", memory_mib, "MiB", None, ENDPOINT_STORE, ONE_LIST),
        figure(f"memory, {fleet}, worst", fleet_memory_mib, "MiB", None, ENDPOINT_STORE, FLEET_CHAIN),
        figure(f"bytes out, {WATCHES} watches, calm", bytes_per_s, "B/s", None, WATCH_REGISTRY, ONE_LIST),
    ]


def _watch_event_figures(results: ResultFiles) -> list[CapacityFigure]:
    change_ms = results.slope_at(ONE_LIST, "rate_directory_cpu_ms_per_change", LARGEST_SERVICE)
    loss_ms = results.slope_at(ONE_LIST, "burst_last_ms", LARGEST_SERVICE)
    restart_ms = results.slope_at(ONE_LIST, "restart_last_ms", WATCHES)
    change_name = f"a change to {LARGEST_SERVICE} watches"
    loss_name = f"a zone's loss delivered to {LARGEST_SERVICE} watches"
    restart_name = f"restart, until all {WATCHES} watches have the list"
    budget_ms = PROPAGATION_BUDGET_MS
    figure = partial(CapacityFigure, DISCOVERY_SERVER, unit="ms", run=ONE_LIST)
    return [
        figure(change_name, change_ms, budget=None, mechanism=WATCH_REGISTRY),
        figure(loss_name, loss_ms, budget=budget_ms, mechanism=WATCH_REGISTRY),
        figure(restart_name, restart_ms, budget=budget_ms, mechanism=SNAPSHOT_STORE),
    ]


def propagation_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the time from the write of a change until the last node has applied it."""
    change_s = _thousandth(results.maximum(FLEET_CHAIN, "calm_last_ms"))
    loss_s = _thousandth(results.maximum(FLEET_CHAIN, "burst_last_ms"))
    restart_s = _thousandth(results.maximum(FLEET_CHAIN, "restart_last_ms"))
    figure = partial(
        CapacityFigure,
        "region, zone, node",
        unit="s",
        budget=PROPAGATION_BUDGET_S,
        mechanism=UPSTREAM_FOLLOWER,
        run=FLEET_CHAIN,
    )
    missing = partial(
        CapacityFigure,
        value=None,
        unit="",
        budget=PROPAGATION_BUDGET_S,
        mechanism=NOT_IMPLEMENTED,
        run="-",
        reason="missing",
    )
    return [
        figure(quantity="a change to in force, worst", value=change_s),
        figure(quantity="a zone's loss to in force, worst", value=loss_s),
        figure(quantity="the zone's discovery server restarts, worst", value=restart_s),
        missing("registry", "where changes are written"),
        missing("settings", "followed in a running node"),
    ]


def model_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the figures of simulated services and chains."""
    return [*_service_figures(results), *_chain_figures(results)]


def _service_figures(results: ResultFiles) -> list[CapacityFigure]:
    nodes: dict[str, float | str] = {"nodes": LARGEST_SERVICE}
    connections = _ratio(results.figure(MODEL, "held 15s", nodes), LARGEST_SERVICE)
    opened = results.figure(MODEL, "opened/call 15s", nodes)
    skew = results.figure(MODEL, "worst/mean", nodes)
    served = results.figure(MODEL, "served", nodes)
    connections_name = f"connections open at a server, {LARGEST_SERVICE} nodes"
    figure = partial(CapacityFigure, f"service of {LARGEST_SERVICE:,}", budget=None, run=MODEL)
    return [
        figure(connections_name, connections, unit="", mechanism=SUBSETS),
        figure("connections opened a request", opened, unit="", mechanism=CONNECTION_POOL),
        figure("largest load of a server over the mean", skew, unit="times", mechanism=SUBSETS),
        figure("fraction served at half the load", served, unit="", mechanism=ADMISSION),
    ]


def _chain_figures(results: ResultFiles) -> list[CapacityFigure]:
    fault: dict[str, float | str] = {
        "tenth of": "full, calls",
        "tier": "last",
        "depth": 12,
        "max attempts": 4,
    }
    attempts = results.figure(MODEL, "sent/tier", fault, "chains")
    attempts_at_faulty_tier = results.figure(MODEL, "there", fault, "chains")
    figure = partial(
        CapacityFigure, "chain of 12", unit="times", budget=None, mechanism=RETRY_BUDGET, run=MODEL
    )
    return [
        figure("attempts, all tiers, a tenth rejected", attempts),
        figure("attempts at the tier that rejects", attempts_at_faulty_tier),
    ]


def all_figures(results: ResultFiles) -> list[CapacityFigure]:
    """Return the figures in the order of the table."""
    return [
        *data_path_figures(results),
        *control_figures(results),
        *discovery_server_figures(results),
        *propagation_figures(results),
        *model_figures(results),
    ]
