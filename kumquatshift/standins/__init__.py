"""Stand-ins for the external systems: platform, store, fabric and targets."""
