"""Benchmarks and simulations: how the cost of each part of the program grows with the service and the fleet.

Each command runs as `python -m benchmarks.NAME` and prints tables; most also write a result file:

- `data_path`: the cost of a request through a real proxy, compared with the same request sent directly.
- `call_profile`: the processor time of a request through a real proxy, by stage.
- `control`: the cost of following an endpoint list, for a real proxy.
- `start`: the processor time that a proxy needs to start.
- `longest_turn`: the longest iteration of a proxy's event loop.
- `hollow`: the cost of many watches for a list server and for hollow nodes.
- `fleet_model`: the load of backends in slow start, in a simulated service.
- `model`: simulations of large services and of chains of tiers.
- `soak`: seeded runs of a real proxy with hostile clients and signals, checked by the rules from outside.
- `capacity`: the load of each role at the target size, from the result files.
- `list_server`: no benchmark; a fake discovery server whose list changes on command.

A command is a package with a `__main__` module, or a module of this package. `models` contains the
simulations of `fleet_model` and `model`; `support` contains the code that several commands share.
"""
