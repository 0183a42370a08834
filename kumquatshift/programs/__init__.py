"""The programs that users start, one module each."""
