"""A minimal HTTP/1.1 server for stand-ins.

It uses little processor time, since stand-ins share the machine with the processes being measured.
"""

import functools

import h11
import trio

from pistachiohill.http.app import HttpApp
from pistachiohill.http.models import Request, Response, parse_query

CHUNK_BYTES = 65536


async def async_serve(
    app: HttpApp,
    host: str,
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled."""
    async with trio.open_nursery() as nursery:
        handler = functools.partial(_async_serve_connection, app)
        await nursery.start(functools.partial(trio.serve_tcp, handler, port, host=host))
        task_status.started()


async def _async_serve_connection(app: HttpApp, stream: trio.SocketStream) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        async with stream:
            while (request := await _async_receive_request(connection, stream)) is not None:
                response = await app.async_handle(request)
                await stream.send_all(_encode_response(connection, response))
                if connection.our_state is h11.MUST_CLOSE:
                    return
                connection.start_next_cycle()
    except (h11.RemoteProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _async_receive_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> Request | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            return _parse_request(head, body)
        else:
            return None


def _parse_request(head: h11.Request, body: bytes) -> Request:
    path, _, query = head.target.partition(b"?")
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), path.decode(), parse_query(query), headers, body)


def _encode_response(connection: h11.Connection, response: Response) -> bytes:
    headers = [("content-length", str(len(response.body)))]
    headers.append(("content-type", response.content_type))
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [connection.send(head), connection.send(h11.Data(data=response.body))]
    parts.append(connection.send(h11.EndOfMessage()))
    return b"".join(part or b"" for part in parts)
