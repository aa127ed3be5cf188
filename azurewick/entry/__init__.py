"""Entry instance: takes callers' requests to backend servers."""
