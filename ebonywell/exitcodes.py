"""Exit codes of the operators' commands."""

import enum

from .exceptions import (
    ConflictError,
    NotReachableError,
    OutcomeUnknownError,
)


class ExitCode(enum.IntEnum):
    """Exit codes by which scripts tell how a command ended."""

    ok = 0
    failed = 1
    usage = 2
    conflict = 3
    not_reachable = 4
    outcome_unknown = 5


def exit_code(error: Exception) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, ConflictError):
        return ExitCode.conflict
    if isinstance(error, NotReachableError):
        return ExitCode.not_reachable
    if isinstance(error, OutcomeUnknownError):
        return ExitCode.outcome_unknown
    return ExitCode.failed
