"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the second review."""

import asyncio
import json

LIMIT_BYTES = 16 * 1024 * 1024


async def serve(host, port, handle):
    """Serve until cancelled; `handle(method, target, headers, body)` returns (status, document).

    A document of None closes the connection without an answer.
    """

    async def connection(reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                first, headers, body = request
                method, target, _ = first.split(' ', 2)
                status, document = await handle(method, target, headers, body)
                if document is None:
                    break
                writer.write(encode(f'HTTP/1.1 {status} X', {}, document))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=LIMIT_BYTES, backlog=512)


async def call(host, port, method, target, document=None, headers=None, timeout_s=5.0):
    """Return (status, document); raise OSError or asyncio.TimeoutError without an answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port, limit=LIMIT_BYTES)
        try:
            body = {} if document is None else document
            all_headers = {'Host': f'{host}:{port}', **(headers or {})}
            writer.write(encode(f'{method} {target} HTTP/1.1', all_headers, body))
            await writer.drain()
            reply = await read_message(reader)
            if reply is None:
                raise ConnectionResetError('closed without an answer')
            first, _, raw = reply
            return int(first.split(' ')[1]), json.loads(raw or b'{}')
        finally:
            writer.close()


def encode(first, headers, document):
    body = json.dumps(document).encode()
    lines = [first, 'Content-Type: application/json', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def read_message(reader):
    """Return (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, text = line.partition(':')
        if found:
            headers[name.strip().lower()] = text.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return lines[0], headers, body
    length = int(headers.get('content-length', '0'))
    return lines[0], headers, await reader.readexactly(length) if length else b''
