"""Limits of targets on a host without peers, whose targets state none."""

from ebonywell.fleetview import FleetView
from ebonywell.loadboard import LoadBoard
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.targetlimits import TargetLimits


def no_limits(name='one'):
    """Return the limits of targets that have stated nothing."""
    fleet = FleetView(name, LoadBoard())
    return TargetLimits(fleet, None, lambda: True, discard_event, Metrics())
