"""Translates between the users' platform and the product.

Names and layouts of the platform's wire stand here and nowhere else.
"""
