"""Numbers that a request has in common with its repeats and its like."""

import xxhash

from .inbound import AdmittedRequest

_SEPARATOR = b'\0'


def request_digest(request: AdmittedRequest) -> int:
    """Return a digest of what a caller repeats: path, workspace and body."""
    workspace = request.workspace
    hashed = xxhash.xxh64(request.method.encode())
    for field in (
        request.path,
        b'' if workspace is None else workspace.name.encode(),
        request.body,
    ):
        hashed.update(_SEPARATOR)
        hashed.update(field)
    return int(hashed.intdigest())


def stream_key(request: AdmittedRequest, request_id: str) -> bytes:
    """Return the key of a stream that a workspace's request began.

    It has a fixed size, whatever the request's id, and another workspace that
    states the same id gets another key.
    """
    workspace = request.workspace
    hashed = xxhash.xxh3_128()
    hashed.update(b'' if workspace is None else workspace.name.encode())
    hashed.update(_SEPARATOR)
    hashed.update(request_id.encode())
    return bytes(hashed.digest())


def request_traits(request: AdmittedRequest) -> frozenset[int]:
    """Return the numbers by which crashes are traced to a request.

    These are its digest and one number for each part of its prompt, except the
    last part, which belongs to this request or its session.
    """
    traits = {request_digest(request)}
    if request.generation is not None:
        for part in request.generation.prefix[:-1]:
            traits.add(int(xxhash.xxh64_intdigest(part.part_id.encode())))
    return frozenset(traits)
