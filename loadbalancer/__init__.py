"""Overload-aware load balancing for services that send requests to each other in tiers."""

from loadbalancer.policy.policy import LoadBalancingPolicy
from loadbalancer.settings import Settings

__all__ = ["LoadBalancingPolicy", "Settings"]
