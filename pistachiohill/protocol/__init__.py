"""Messages between the system's own processes: classes, codec and connections."""
