"""Stand-ins of the second review: servers, discovery, clients, and the start of the project's programs."""
