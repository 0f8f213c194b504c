"""Stand-ins of the platform for the cases 16 to 19, and the processes under test."""
