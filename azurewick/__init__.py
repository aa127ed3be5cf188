"""Request scheduler for backend servers of unlike speed."""
