"""Benchmarks, fault tests, and stand-ins for the platform's services."""
