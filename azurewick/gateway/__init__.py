"""Gateway role: accepts requests and offers them to agents."""
