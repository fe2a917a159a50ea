"""A seeded soak of one real proxy with hostile clients, changing endpoints and signals, checked by ids."""
