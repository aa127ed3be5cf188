"""Control protocol between gateways and agents."""
