"""Settings: the tree that operators publish and the files that daemons read."""
