"""Control protocol between the daemons."""
