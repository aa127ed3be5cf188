"""Agent daemon."""

from __future__ import annotations

from azurewick.settings.models import AgentSettings


def run_agent(settings: AgentSettings) -> int:
    """Run the agent until it is stopped and return the exit code."""
    raise NotImplementedError
