"""Redaction of callers' keys in logs, metrics and responses to operators."""

import re

#: Replaces a key. The key id, which is not secret, is removed as well, because a text
#: that only resembles a key need not contain one.
REDACTED_KEY = "egk_[removed]"

# Matches more than a valid key on purpose: a key followed by further characters still
# contains the secret. %5F is a percent-encoded underscore.
_KEY_PATTERN = re.compile(r"egk(?:_|%5f)[A-Za-z0-9_%=+/.~-]+", re.IGNORECASE)


def redact_keys(text: str) -> str:
    """Returns ``text`` with everything redacted that resembles a caller's key."""
    # Nearly all texts contain no key, and a substring search is much cheaper than the
    # regular expression.
    if "egk" not in text.lower():
        return text
    return _KEY_PATTERN.sub(REDACTED_KEY, text)
