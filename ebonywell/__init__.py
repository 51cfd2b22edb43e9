"""Serves many models on fewer accelerators for many workspaces."""
