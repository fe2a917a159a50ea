"""Tenants' quotas, as token buckets: each replica has the quota divided by the number of replicas."""

from __future__ import annotations

from loadbalancer.settings import Settings


class TenantQuota:
    """A token bucket of one tenant at this replica; each request takes one token.

    It is filled at the replica's part of the tenant's quota, and holds as many tokens as are filled in 1 s.
    """

    def __init__(self, quota_per_s: float, now_ms: float) -> None:
        self._quota_per_s = quota_per_s
        self._tokens = quota_per_s
        self._refilled_ms = now_ms

    def take_token(self, now_ms: float) -> bool:
        """Take the token of a request; returns whether the bucket held one."""
        refill = self._quota_per_s * (now_ms - self._refilled_ms) / 1000.0
        self._tokens = min(self._quota_per_s, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def quotas_by_tenant(settings: Settings, now_ms: float) -> dict[str, TenantQuota]:
    """A full bucket for each tenant with a quota; none unless clients send to this tier directly."""
    if settings.tier != 0:
        return {}
    return {
        tenant.name: TenantQuota(tenant.quota_per_s / settings.replicas, now_ms)
        for tenant in settings.tenants
    }
