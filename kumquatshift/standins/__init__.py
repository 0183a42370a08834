"""Small stand-ins for the systems outside: platform, fabric and targets."""
