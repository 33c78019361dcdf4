"""Odd entries of the store, and answers that hold them."""

import orjson
import pytest

from galenaswitch.membership.lists import Machine

OWN = Machine('vm-1', 'north', '127.0.0.1', 8625)
TARGET = {
    'service': 'llm',
    'address': '127.0.0.1:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 4,
    'born': 1764900000000,
}
# Contents that a store may hold and that aren't valid as a whole.
UNREADABLE_SPECS = {
    'deep array': b'[' * 2000 + b']' * 2000,
    'deep object': b'{"a":' * 2000 + b'1' + b'}' * 2000,
    'deep beyond readers': b'[' * 900 + b']' * 900,
    'number out of range': b'{"slots": 1e999}',
    'long number': b'{"slots": ' + b'9' * 400 + b'}',
    'not a number': b'{"slots": NaN}',
    'infinity': b'{"slots": -Infinity}',
    'lone surrogate': b'{"zone": "\\ud800"}',
    'no UTF-8': b'{"zone": "\xff\xfe"}',
    'control character': b'{"zone": "\x00\n"}',
    'brackets in text': b'{"zone": "]}\\"],{", "slots": NaN}',
    'no such word': b'undefined',
    'nothing': b'',
}
UNREADABLE_ENTRIES = {
    name: b'{"metadata": {"name": "odd", "revision": 7}, "spec": %b}' % spec
    for name, spec in UNREADABLE_SPECS.items()
}
# Entries without a name that can be read.
UNNAMED_ENTRIES = {
    'no object': b'[1]',
    'null': b'null',
    'no metadata': b'{"spec": {}}',
    'metadata of another type': b'{"metadata": ["odd", 7], "spec": {}}',
    'no name': b'{"metadata": {"revision": 7}, "spec": {}}',
    'number as name': b'{"metadata": {"name": 7, "revision": 7}}',
    'empty name': b'{"metadata": {"name": "", "revision": 7}}',
    'unreadable name': b'{"metadata": {"name": "\\ud800", "revision": 7}}',
    'cut entry': b'nul',
}
# Entries whose name can be read, and not the rest of the metadata.
ODD_METADATA = {
    'no revision': b'{"metadata": {"name": "odd"}, "spec": {}}',
    'revision as text': b'{"metadata": {"name": "odd", "revision": "7"}}',
    'revision as list': b'{"metadata": {"name": "odd", "revision": [7]}}',
    'negative revision': b'{"metadata": {"name": "odd", "revision": -7}}',
    'huge revision': b'{"metadata": {"name": "odd", "revision": 1e999}}',
    'revision of an era': b'{"metadata": {"name":"odd","revision":%d}}' % 2**60,
    'odd date': b'{"metadata": {"name": "odd", "created-at": NaN}}',
}


def make_entry(name, revision, spec):
    """Return the JSON text of an entry."""
    metadata = {'name': name, 'revision': revision}
    return orjson.dumps({'metadata': metadata, 'spec': spec})


def make_answer(body):
    """Return an HTTP answer of the store with a JSON text."""
    head = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n'
    return head % len(body) + body


def make_page(*entries, more=False, revision=20):
    """Return the answer with a page of entries."""
    return make_answer(
        b'{"items": [%b], "has-more": %b, "store-revision": %d}'
        % (b', '.join(entries), b'true' if more else b'false', revision)
    )


def make_events(*events, revision=20):
    """Return the answer to a watch with entries, and whether they are gone."""
    texts = [
        b'{"deleted": %b, "object": %b}' % (b'true' if gone else b'false', one)
        for one, gone in events
    ]
    return make_answer(
        b'{"events": [%b], "store-revision": %d}'
        % (b', '.join(texts), revision)
    )


def make_items(entries):
    """Return test parameters of entries, with their names as ids."""
    return [pytest.param(one, id=name) for name, one in entries.items()]
