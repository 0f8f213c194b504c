"""Stand-ins for external systems in tests and experiments: store, runners, targets, network."""
