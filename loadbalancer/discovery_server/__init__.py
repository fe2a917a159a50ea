"""The discovery server: distributes endpoint lists to nodes, as a client and a server of one protocol."""
