"""Measuring scripts and the stand-ins for what the platform gives."""
