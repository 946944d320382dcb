"""Tests of tokens, of the peers' keys, and of what strangers may send."""

import pathlib
import tempfile
import unittest

import msgspec
import zmq
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from snowdock.errors import Forbidden, InvalidInput, TokensUnreadable, Unauthorized
from snowdock.node.peer_messages import StateRequest, decode_peer_message, encode_peer_message
from snowdock.node.tokens import Role, TokenStore, read_tokens
from tests.standins.cluster import Cluster

OPERATOR = "operator-token-0123456789"
CALLER = "caller-token-0123456789"
TOKENS = f"[operator ann]\ntoken = {OPERATOR}\n[caller desk]\ntoken = {CALLER}\n"
STATE_REQUEST_TIMEOUT_MS = 1500


class TestTokenStore(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "tokens.ini"
        self.path.write_text(TOKENS)

    def test_roles(self) -> None:
        """An operator may do all, a caller what callers do, and nobody else anything."""
        store = TokenStore(str(self.path))
        store.authorize(f"Bearer {OPERATOR}", Role.OPERATOR)
        store.authorize(f"Bearer {CALLER}", Role.CALLER)
        with self.assertRaises(Forbidden):
            store.authorize(f"Bearer {CALLER}", Role.OPERATOR)
        for header in ("", "Bearer ", f"Basic {OPERATOR}", OPERATOR, f"Bearer {OPERATOR}x"):
            with self.subTest(header), self.assertRaises(Unauthorized):
                store.authorize(header, Role.CALLER)

    def test_invalid_files_are_rejected_without_leaking_tokens(self) -> None:
        """A file that is missing, broken or has weak tokens is refused by type."""
        for text in ("", "[operator a]\ntoken = short\n", f"[king a]\ntoken = {OPERATOR}\n", "[[["):
            self.path.write_text(text)
            with self.subTest(text), self.assertRaises(TokensUnreadable) as caught:
                read_tokens(str(self.path))
            self.assertNotIn(OPERATOR, str(caught.exception))
        with self.assertRaises(TokensUnreadable):
            TokenStore(str(self.path) + ".missing")


class TestAuthenticatedCluster(unittest.TestCase):
    """Two nodes with tokens and keys."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "tokens.ini"
        path.write_text(TOKENS)
        cls.keys = zmq.curve_keypair()
        security = {
            "tokens_file": str(path),
            "peer_public_key": cls.keys[0].decode(),
            "peer_secret_key": cls.keys[1].decode(),
        }
        cls.cluster = Cluster(workers=1, minions=1, security=security, token=OPERATOR)
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_nodes(2)

    def status(self, method: str, path: str, token: str, body: bytes = b"") -> int:
        headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        return self.cluster.request("node-0", method, path, body, headers).status

    def test_callers_cannot_use_operator_endpoints(self) -> None:
        """Who may do what is kept over HTTP, and probes of the balancer stay open."""
        change = msgspec.json.encode({"base": 10**6, "files": {}})
        self.assertEqual(self.status("POST", "/v1/configuration", CALLER, change), 403)
        self.assertEqual(self.status("POST", "/v1/drain", CALLER), 403)
        self.assertEqual(self.status("POST", "/v1/configuration", OPERATOR, change), 409)
        self.assertEqual(self.status("GET", "/v1/status", CALLER), 200)
        self.assertEqual(self.status("GET", "/v1/status", "wrong"), 401)
        self.assertEqual(self.status("POST", "/call/x/", "wrong"), 401)
        self.assertEqual(self.status("GET", "/healthz", "wrong"), 200)

    def test_peers_with_cluster_keys_exchange_heartbeats(self) -> None:
        """Nodes that hold the cluster's keys see each other alive."""
        nodes = self.cluster.get("node-0", "/v1/nodes")
        self.assertTrue(all(node["seems_alive"] for node in nodes))

    def _state_request_is_answered(self, public: bytes | None, secret: bytes | None) -> bool:
        """Ask node-0 for its state as a peer would, and tell whether it answered."""
        with zmq.Context() as context, context.socket(zmq.DEALER) as socket:
            socket.linger = 0
            if public:
                socket.curve_publickey, socket.curve_secretkey = public, secret
                socket.curve_serverkey = self.keys[0]
            socket.connect(f"tcp://{self.cluster.peers['node-0']}")
            socket.send(encode_peer_message(StateRequest(1)))
            return bool(socket.poll(STATE_REQUEST_TIMEOUT_MS))

    def test_requests_without_cluster_keys_are_dropped(self) -> None:
        """A question without keys, or with other keys, is dropped; with the keys answered."""
        self.assertTrue(self._state_request_is_answered(*self.keys))
        self.assertFalse(self._state_request_is_answered(None, None))
        self.assertFalse(self._state_request_is_answered(*zmq.curve_keypair()))

    @settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH"]),
        st.sampled_from(
            ["/v1/work", "/v1/configuration", "/v1/work/1", "/v1/work/1/cancel", "/call/x/y", "/"]
        ),
        st.text(
            st.characters(min_codepoint=33, max_codepoint=126, exclude_characters="#%"), max_size=12
        ),
        st.sampled_from(["application/json", "text/plain", "x"]),
        st.one_of(
            st.binary(max_size=80),
            st.sampled_from(
                [
                    b"{}",
                    b"[]",
                    b'{"base":0,"files":{"a.ini":"["}}',
                    b'{"base":-1,"files":{"a":""}}',
                    b"[batch x]\nteam = t\ntasks = 1\ncpu = 1\nmemory_gb = 1\nrun_seconds = 1",
                ]
            ),
        ),
        st.dictionaries(
            st.sampled_from(
                [
                    "Snowdock-Key",
                    "Snowdock-Request-Id",
                    "Snowdock-Deadline-Ms",
                    "Snowdock-Repeatable",
                    "Snowdock-Priority",
                    "traceparent",
                ]
            ),
            st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20),
        ),
    )
    def test_no_input_causes_status_500(self, method, path, suffix, kind, body, headers) -> None:
        """Whatever is sent to the API, the answer is a typed one and the node goes on."""
        answer = self.cluster.request(
            "node-0", method, path + suffix, body, {**headers, "Content-Type": kind}
        )
        self.assertNotEqual(answer.status, 500, (method, path + suffix, body, headers))
        if method != "GET" or "/call/" in path:
            self.assertIn("code", msgspec.json.decode(answer.data))


class TestPeerMessages(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_invalid_bytes_raise_invalid_input(self, data: bytes) -> None:
        """Foreign bytes are a message or bring the typed failure."""
        try:
            decode_peer_message(data)
        except InvalidInput:
            return
