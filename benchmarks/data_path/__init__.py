"""The cost of a request through a real proxy, beside a direct request: `python -m benchmarks.data_path`."""
