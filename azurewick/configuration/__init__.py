"""Configuration of the fleet: classes, pools and customers."""
