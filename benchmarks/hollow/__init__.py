"""The cost of many watches for a list server and for hollow nodes: `python -m benchmarks.hollow`."""
