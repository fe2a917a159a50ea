"""Simulations of the real policy in model time: a fleet, its connection pools, chains of tiers."""
