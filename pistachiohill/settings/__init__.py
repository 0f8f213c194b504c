"""Settings tree published by operators and settings files of the daemons."""
