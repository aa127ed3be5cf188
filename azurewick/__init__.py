"""Request scheduler for backend servers of different speeds."""
