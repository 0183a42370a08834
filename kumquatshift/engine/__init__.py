"""Pure decisions: events in, actions out; no I/O, no clock and no chance of its own."""
