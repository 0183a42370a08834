"""The executable programs, one module each."""
