"""ASGI app for the other nodes: relayed calls of callers, and notices of accepted jobs."""

from collections.abc import Callable

from comfreywind.http.asgi_body import BodyIncompleteError, BodyTooLargeError, read_body
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import AsgiApp, Receive, Scope, Send
from comfreywind.intake.job_notice import NOTICE_HEADER, decode_notice
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.platform.stored_row import StoredRow

NOTICE_LIMIT_BYTES = 262_144


class PeerApp:
    """Passes notices to the holder, and all other calls to the app for callers."""

    def __init__(self, caller_app: AsgiApp, apply_notice: Callable[[StoredRow], None]) -> None:
        """Use the app for callers that relays nothing itself."""
        self._caller_app = caller_app
        self._apply_notice = apply_notice

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if NOTICE_HEADER not in scope['headers']:
            await self._caller_app(scope, receive, send)
            return
        try:
            row = decode_notice(await read_body(receive, NOTICE_LIMIT_BYTES))
        except BodyIncompleteError:
            return
        except (BodyTooLargeError, RowFormatError) as error:
            await send_json(send, 400, {'error': str(error)})
            return
        self._apply_notice(row)
        await send_json(send, 200, {})
