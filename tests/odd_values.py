"""Odd JSON values, addresses and keys that other programs may write to the store."""

import json

__all__ = ["ODD_ADDRESSES", "ODD_KEYS", "ODD_VALUES", "replace_field"]

_LEVELS = 100_000
_PLACEHOLDER = "@value@"

ODD_VALUES = {
    "nested_arrays": b"[" * _LEVELS + b"]" * _LEVELS,
    "nested_objects": b'{"a":' * _LEVELS + b"1" + b"}" * _LEVELS,
    "unclosed_arrays": b"[" * _LEVELS,
    "unclosed_objects": b'{"a":' * _LEVELS,
    "400_digits": b"9" * 400,
    "5000_digits": b"9" * 5000,
    "400_digits_below_zero": b"-" + b"9" * 400,
    "400_digits_and_a_fraction": b"9" * 400 + b".5",
    "2**63": b"%d" % 2**63,
    "2**64": b"%d" % 2**64,
    "1e300": b"1e300",
    "1e999": b"1e999",
    "-1e999": b"-1e999",
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "-Infinity": b"-Infinity",
    "fraction": b"1.5",
    "whole_float": b"2.0",
    "negative": b"-1",
    "null": b"null",
    "true": b"true",
    "empty": b'""',
    "text": b'"x"',
    "text_of_a_number": b'"1e999"',
    "text_of_400_digits": b'"%b"' % (b"9" * 400),
    "text_of_5000_digits": b'"%b"' % (b"9" * 5000),
    "text_of_nan": b'"nan"',
    "nul": b'"\\u0000"',
    "line_breaks": b'"a\\r\\nX-B: c"',
    "lone_surrogate": b'"\\ud800"',
    "invalid_utf8": b'"\xff\xfe"',
    "long_text": b'"%b"' % (b"x" * 200_000),
    "empty_list": b"[]",
    "list": b"[1]",
    "list_of_lists": b"[[]]",
    "list_of_an_object": b"[{}]",
    "list_of_null": b"[null]",
    "object": b'{"a":1}',
}
"""JSON texts, some of them malformed, by name."""

ODD_ADDRESSES = (
    "", ":", ":80", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:-1", "10.1.2.3:+80",
    "10.1.2.3:65536", "10.1.2.3:8_0", "10.1.2.3: 80", "10.1.2.3:80 ", "10.1.2.3:x", "10.1.2.3:²",
    "10.1.2.3:٣", "10.1.2.3:" + "9" * 400, "10.1.2.3:" + "9" * 5000, "10.1.2.3:" + "0" * 5000,
    "10.1.2:80", "\u06610.1.2.3:80", "host:80", "::1:80", "[::1]:80", "10.1.2.3:80:80",
    "10.1.2.3 :80", "10.1.2.3\x00:80", "10.1.2.3:80\r\nX-B: c", "x" * 10_000 + ":80",
    "x" * 64 + ".example:80", "xn--\u0378:80", "a..b:80",
)  # fmt: skip
"""Addresses that are not an IPv4 address and a port from 1 to 65,535."""

ODD_KEYS = (
    b"", b"a\r\nX-B: c", b"a\n", b"a b", b"a\x00", b"\xff\xfe", "٣".encode(), b"i@7", b"\xff" * 255,
)  # fmt: skip
"""Keys of records that cannot be a worker's id."""


def replace_field(record: object, path: tuple[str | int, ...], value: bytes) -> bytes:
    """Return a record as JSON, with a JSON text in place of the value at a path."""
    copy = json.loads(json.dumps(record))
    parent = copy
    for part in path[:-1]:
        parent = parent[part]
    parent[path[-1]] = _PLACEHOLDER
    return json.dumps(copy).encode().replace(json.dumps(_PLACEHOLDER).encode(), value)
