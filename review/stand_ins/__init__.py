"""Stand-ins for the clients, servers, discovery and platform of one proxy, on loopback addresses."""
