"""The cost of following an endpoint list to a real proxy: `python -m benchmarks.control`."""
