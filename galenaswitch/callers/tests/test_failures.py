"""Responses to callers' requests that fail in an unexpected way."""

import asyncio
import json
from unittest.mock import Mock

import pytest
from sanic import Sanic

from galenaswitch.callers.bodies import CallerBody
from galenaswitch.callers.server import CallerApi
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.pipelines.requests import PipelineRequest
from galenaswitch.programs.http import serve_http
from galenaswitch.targets.messages import Token

HEAD = (
    b'POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)


class FailingHandler:
    """Sends some tokens of a stream and fails."""

    async def handle(self, request, key, progress, sink):
        """Send one token and raise an error that nothing foresees."""
        await sink.send([Token(0, 'some')])
        raise KeyError('odd')


@pytest.fixture
async def call(monkeypatch):
    """Return a function that sends a request and returns the whole answer."""
    api = CallerApi(None, FailingHandler(), Mock(), LocalMetrics())
    app = Sanic('galena-failures', configure_logging=False)
    # Sanic rewrites its own methods once in a process.
    app.config.TOUCHUP = False
    api.mount(app)
    server = await serve_http(app, '127.0.0.1', 0)
    port = server._server.server.sockets[0].getsockname()[1]

    async def send(*, stream):
        contract = Mock(workspace='w')
        request = PipelineRequest(
            'r1', contract, 1, Mock(), '', {}, 9, 99999999.0
        )
        body = Mock(spec=CallerBody, stream=stream)
        monkeypatch.setattr(api, '_parse_request', lambda *_: (request, body))
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(HEAD)
        try:
            return await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    yield send
    await server.stop()
    Sanic.unregister_app(app)


# Guards against a stream that fails unexpectedly and is framed as complete.
async def test_stream_that_fails_unexpectedly_does_not_look_complete(call):
    response = await call(stream=True)
    assert b'"text":"some"' in response
    assert not response.endswith(b'0\r\n\r\n')
    assert b'internal-error' in response


async def test_request_that_fails_unexpectedly_is_refused(call):
    response = await call(stream=False)
    head, _, body = response.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 500')
    assert json.loads(body)['error']['run'] == 'unknown'
