"""The proxy: forwards clients' requests to endpoints as the policy decides."""
