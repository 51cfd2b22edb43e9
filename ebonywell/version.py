"""The version of ebonywell, in one place."""

__version__ = '0.1.0'
