"""Property tests of the validation of request heads."""

from __future__ import annotations

from urllib.parse import unquote

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.serving.framing import check_head

REQUEST_SETTINGS = RequestSettings()
PATH_PARTS = ('/', '.', '%2e', '%2F', '%5c', '\\', '%00', '%', 'a', ';', '//')
HEADER_NAMES = (
    b'authorization',
    b'x-api-key',
    b'connection',
    b'content-length',
    b'transfer-encoding',
    b'host',
    b'via',
    b'te',
    b'x-forwarded-for',
    b'x-a',
)
HEADER_VALUES = (
    b'Bearer secret',
    b'secret',
    b'chunked',
    b'1',
    b'x-a, te',
    b'h',
)
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES) | st.binary(max_size=6),
        st.sampled_from(HEADER_VALUES) | st.binary(max_size=6),
    ),
    max_size=8,
)
PATHS = st.lists(st.sampled_from(PATH_PARTS), max_size=8).map(
    lambda parts: ('/' + ''.join(parts)).encode()
)


def check_request_head(path: bytes, query: bytes, headers: list):
    scope = {
        'method': 'POST',
        'raw_path': path,
        'query_string': query,
        'http_version': '1.1',
        'headers': [(b'host', b'h'), *headers],
    }
    return check_head(scope, REQUEST_SETTINGS)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(PATHS | st.binary(max_size=12), st.binary(max_size=8))
def test_accepted_paths_have_one_meaning(path: bytes, query: bytes) -> None:
    """Guards against paths that the target could resolve to another route."""
    result = check_request_head(path, query, [])
    if result.is_error():
        return
    accepted = result.ok.target
    decoded = unquote(accepted.raw.partition(b'?')[0].decode(), 'latin-1')
    assert accepted.path.startswith('/')
    assert '\\' not in decoded
    assert '//' not in decoded
    assert not {'.', '..'} & set(decoded.split('/'))
    assert all(ord(character) > 0x1F for character in decoded)
    assert decoded.count('/') == accepted.path.count('/')


@settings(max_examples=400, derandomize=True, deadline=None)
@given(HEADERS)
def test_accepted_headers_carry_no_key_or_framing(headers: list) -> None:
    """Guards against forwarding caller keys or framing headers to targets."""
    result = check_request_head(b'/a', b'', headers)
    if result.is_error():
        return
    head = result.ok
    names = [name for name, _ in head.headers]
    assert not set(HEADER_NAMES[:-1]) & set(names)
    key_headers = [name for name, _ in headers if name in HEADER_NAMES[:2]]
    assert len(head.key_hashes) == len(key_headers)
    assert not (head.chunked and head.content_length is not None)
    for name, field in head.headers:
        assert name.islower() or not name.isalpha()
        assert b'\r' not in field
        assert b'\n' not in field
        assert b'\0' not in field
