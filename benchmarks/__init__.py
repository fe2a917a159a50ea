"""Benchmarks and simulations: what each part of the program costs as its surroundings grow.

Each command runs as `python -m benchmarks.NAME` and prints tables; most also write a result file:

- `data_path`: the cost of a request through a real proxy, beside the same request made directly.
- `call_profile`: the processor time of a request through a real proxy, by stage.
- `control`: the cost of following an endpoint list to a real proxy.
- `start`: the processor time of a proxy's start.
- `longest_turn`: the longest that a proxy's event loop runs without waiting.
- `hollow`: the cost of many watches to a list server and to hollow nodes.
- `fleet_model`: backends in slow start, in a simulated service.
- `model`: large services and chains of tiers, simulated.
- `capacity`: the load of each role at the target size, from the result files.
- `list_server`: no benchmark; a stand-in discovery server whose list changes on command.

A command is a package with a `__main__` module, or a module of this package. `models` holds the simulations
of `fleet_model` and `model`; `support` holds what several commands share.
"""
