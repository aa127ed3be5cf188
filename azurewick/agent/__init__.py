"""Agent role: queues and dispatches requests to one backend server."""
