"""Limits of a listener that limit nothing."""


class UnlimitedSlot:
    """A stream that gets all memory that it wants."""

    async def reserve(self, size_bytes):
        return

    def begin_serving(self):
        return


class UnlimitedStreams:
    """Accepts every stream."""

    async def wait_for_room(self):
        return

    def observe_accept_error(self):
        raise AssertionError("a stream was not accepted")

    def open_slot(self, scope):
        return UnlimitedSlot()

    def close_slot(self, slot):
        return
