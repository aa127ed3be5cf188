"""Virtual-time model of engines that drives the real decisions."""
