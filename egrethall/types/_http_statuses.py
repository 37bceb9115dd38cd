"""Statuses of HTTP responses."""

#: Statuses that end an exchange (RFC 9110, section 15). Lower ones are informational or
#: invalid. RFC 9110 treats higher ones as server errors; passed on, they would reach
#: callers that do not expect them.
FINAL_STATUSES = range(200, 600)
