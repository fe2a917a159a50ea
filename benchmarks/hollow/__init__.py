"""The cost of many watches to a list server and to hollow nodes: `python -m benchmarks.hollow`."""
