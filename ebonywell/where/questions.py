"""The request that an operator asks about.

The module is pure. It is made for names that are mistyped: each one is looked
up in the configuration, so that a wrong name is not answered as if no target
were ready.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ..inbound import AdmittedRequest, Generation
from ..routetable import Configuration, Route, WorkspaceLimit

# Id that stands in for that of a caller; the request is never sent.
REQUEST_ID = 'where'


class UnknownNameError(ValueError):
    """The configuration has no route, workspace or model of a name."""


@dataclass(slots=True, frozen=True)
class Question:
    """What an operator asks.

    Attributes
    ----------
    route, workspace : str
        Names; the workspace is empty for a request without a key.
    generation : Generation or None
        None for plain services.
    """

    route: str
    workspace: str = ''
    generation: Generation | None = None


def make_requests(
    question: Question, configuration: Configuration, now: float
) -> Iterator[AdmittedRequest]:
    """Iterate over the requests of a question, one for each of its services.

    Raises
    ------
    UnknownNameError
        If the configuration lacks a name.
    """
    route = _find_route(question.route, configuration)
    workspace = _find_workspace(question.workspace, configuration)
    for weighted in route.services:
        _check_model(question.generation, weighted.service, configuration)
        yield AdmittedRequest(
            REQUEST_ID,
            'POST',
            route.path_prefix.encode(),
            (),
            b'',
            route,
            weighted.service,
            workspace,
            question.generation,
            now,
            now + route.timeout_s,
            configuration.rank_of(route, workspace),
        )


def _find_route(name: str, configuration: Configuration) -> Route:
    for prefixes in configuration.routes.values():
        for route in prefixes.values():
            if route.name == name:
                return route
    raise UnknownNameError(f'unknown route {name!r}')


def _find_workspace(
    name: str, configuration: Configuration
) -> WorkspaceLimit | None:
    if not name:
        return None
    workspace = configuration.workspaces.get(name)
    if workspace is None:
        raise UnknownNameError(f'unknown workspace {name!r}')
    return workspace


def _check_model(
    generation: Generation | None, service: str, configuration: Configuration
) -> None:
    engine = configuration.engines.get(service)
    if engine is None:
        return
    model = '' if generation is None else generation.model
    if model not in engine.models:
        raise UnknownNameError(f'unknown model {model!r} of {service!r}')
