"""The cost of endpoint list changes for a real proxy: `python -m benchmarks.control`."""
