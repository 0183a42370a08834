"""Messages between entries, and the code generated from them."""
