"""The engine of an entry: events in, actions out, without I/O, clock or randomness."""
