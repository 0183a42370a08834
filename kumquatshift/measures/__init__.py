"""What the project measures of itself, and the bounds that must hold.

`make measure` runs it all, prints one table and writes build/measures.json.
"""
