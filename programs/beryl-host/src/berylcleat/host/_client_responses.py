"""Responses to clients."""

from berylcleat.http import HttpResponse

JSON_TYPE = ("content-type", "application/json")
RETRY_AFTER_S = 1


def make_response(
    status: int, body: bytes = b"", retry_after_s: int = RETRY_AFTER_S
) -> HttpResponse:
    """Return a response with a JSON body, and with Retry-After for 429 and 503."""
    headers = (JSON_TYPE,) if body else ()
    if status in (429, 503):
        headers += (("retry-after", str(retry_after_s)),)
    return HttpResponse(status, headers, body)
