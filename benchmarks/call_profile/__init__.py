"""The processor time of a request through a real proxy, by stage: `python -m benchmarks.call_profile`."""
