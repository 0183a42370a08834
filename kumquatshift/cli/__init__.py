"""kumquat-ctl, the command-line client for operators."""
