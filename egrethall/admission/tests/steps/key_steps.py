import hashlib
import hmac
import re
from unittest import mock

from behave import given, then, when

from egrethall.admission import KeyRing, make_key
from egrethall.types import Organisation


class KeySubject:
    """Two organisations and their keys."""

    def __init__(self):
        self.keys = {name: [make_key(), make_key()] for name in ("atlas", "minor")}
        self.ring = self.make_ring()

    def make_ring(self, withdrawn=()):
        return KeyRing(
            Organisation(
                name,
                "plan",
                tuple(key.digest for key in keys if key not in withdrawn),
            )
            for name, keys in self.keys.items()
        )

    def identify(self, key):
        organisation = self.ring.identify(key.encode())
        return organisation and organisation.name

    def all_keys(self):
        return [(name, key.key) for name, keys in self.keys.items() for key in keys]


@given("two organisations with two new keys each")
def step_impl(context):
    context.subject = KeySubject()


@then("each key has the published form and identifies its own organisation")
def step_impl(context):
    for name, key in context.subject.all_keys():
        assert context.subject.identify(key) == name
    for keys in context.subject.keys.values():
        for key in keys:
            assert re.fullmatch(r"egk_[0-9a-f]{8}_[A-Za-z0-9_-]{43}", key.key)
            assert key.digest.key_id == key.key[4:12]
            assert key.digest.digest == hashlib.sha256(key.key.encode()).digest()


@then("no altered key and no malformed key identifies an organisation")
def step_impl(context):
    for _, key in context.subject.all_keys():
        for index, character in enumerate(key):
            other = "0" if character != "0" else "1"
            changed = key[:index] + other + key[index + 1 :]
            assert context.subject.identify(changed) is None, changed
    key = context.subject.all_keys()[0][1]
    for changed in (
        "",
        "egk_",
        key[:-1],
        key + "A",
        key + "\n",
        " " + key,
        key.upper(),
    ):
        assert context.subject.identify(changed) is None, changed
    assert context.subject.ring.identify(b"\xff" * 56) is None


@when("the key ring is replaced by one without the first key")
def step_impl(context):
    subject = context.subject
    subject.ring = subject.make_ring(withdrawn=[subject.keys["atlas"][0]])


@then("the first key identifies no organisation and the others identify theirs")
def step_impl(context):
    (_, first), *others = context.subject.all_keys()
    assert context.subject.identify(first) is None
    assert all(context.subject.identify(key) == name for name, key in others)


@then("a known and an unknown key id both lead to one comparison of 32 bytes")
def step_impl(context):
    known = context.subject.all_keys()[0][1]
    for key in (known, make_key().key):
        with mock.patch("hmac.compare_digest", wraps=hmac.compare_digest) as compare:
            context.subject.identify(key)
        ((left, right), _) = compare.call_args
        assert compare.call_count == 1
        assert len(left) == len(right) == 32
