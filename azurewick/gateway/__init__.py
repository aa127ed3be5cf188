"""Gateway role: accepts requests from callers and offers them to agents.

An agent runs beside each backend server. It accepts an offered request and
dispatches it to its backend server, or refuses it without running it.
"""
