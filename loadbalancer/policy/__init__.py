"""Every decision of the load balancer: events in, actions out, with no sockets, files or clock."""
