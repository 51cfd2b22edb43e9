"""Translates between the platform's wire formats and ebonywell's types.

The names that the platform uses exist in this package only. It holds no
decision and no state that outlives a call.
"""
