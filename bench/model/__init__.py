"""Virtual-time model of a pool: engines, agents and gateways.

The engines are simulated; admission and routing are azurewick's own code.
"""
