"""Simulations in model time around the real policy: a fleet, its connection pools, chains of tiers."""
