"""The client side of the discovery protocol: the endpoint list, its watch and the watch's time budget."""
