"""The proxy: runs the policy between clients' and endpoints' connections."""
