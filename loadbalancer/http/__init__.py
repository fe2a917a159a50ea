"""HTTP/1.1 over asyncio, for both ends of a connection; independent of the packages that use it."""
