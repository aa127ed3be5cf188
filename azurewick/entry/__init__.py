"""Entry instance: forwards callers' requests to backend servers."""
