"""Translates between the platform's wire formats and ebonywell's types.

The platform's names are used in this package only. The package makes no
routing or placement decisions, and keeps no state between calls.
"""
