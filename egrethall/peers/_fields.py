"""Field types of the wire format; both directions check type and range."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from msgpack import Unpacker

from egrethall.peers._errors import PeerCodecError


class WireField(Protocol):
    """Encodes and decodes one value of a message."""

    def pack(self, value: Any) -> Any:  # noqa: ANN401
        """Returns the object that ``msgpack`` writes for ``value``."""
        ...

    def unpack(self, unpacker: Unpacker) -> Any:  # noqa: ANN401
        """Returns the next value of ``unpacker``.

        :raises PeerCodecError: the value has a wrong type or is out of range.
        """
        ...


@dataclass(frozen=True)
class IntegerField:
    """An integer from ``minimum`` to ``maximum``, both included."""

    minimum: int
    maximum: int

    def pack(self, value: object) -> int:
        """Returns ``value`` if it is in range."""
        if type(value) is not int:
            raise PeerCodecError(f"expected an integer, got {type(value).__name__}")
        if not self.minimum <= value <= self.maximum:
            raise PeerCodecError(
                f"integer {value} is not from {self.minimum} to {self.maximum}"
            )
        return value

    def unpack(self, unpacker: Unpacker) -> int:
        """Returns the next integer."""
        return self.pack(unpacker.unpack())


@dataclass(frozen=True)
class FloatField:
    """A number from ``minimum`` to ``maximum``, both included; NaN is rejected."""

    minimum: float
    maximum: float

    def pack(self, value: object) -> float:
        """Returns ``value`` as a float if it is in range."""
        if type(value) is not float and type(value) is not int:
            raise PeerCodecError(f"expected a number, got {type(value).__name__}")
        if not self.minimum <= value <= self.maximum:
            raise PeerCodecError(
                f"number {value} is not from {self.minimum} to {self.maximum}"
            )
        return float(value)

    def unpack(self, unpacker: Unpacker) -> float:
        """Returns the next number."""
        return self.pack(unpacker.unpack())


@dataclass(frozen=True)
class BooleanField:
    """True or false."""

    def pack(self, value: object) -> bool:
        """Returns ``value`` if it is a boolean."""
        if type(value) is not bool:
            raise PeerCodecError(f"expected a boolean, got {type(value).__name__}")
        return value

    def unpack(self, unpacker: Unpacker) -> bool:
        """Returns the next boolean."""
        return self.pack(unpacker.unpack())


@dataclass(frozen=True)
class TextField:
    """A string with a limited number of characters."""

    maximum_length: int
    minimum_length: int = 0

    def pack(self, value: object) -> str:
        """Returns ``value`` if its length is in range."""
        if type(value) is not str:
            raise PeerCodecError(f"expected a text, got {type(value).__name__}")
        if not self.minimum_length <= len(value) <= self.maximum_length:
            raise PeerCodecError(
                f"text of {len(value)} characters, allowed are"
                f" {self.minimum_length} to {self.maximum_length}"
            )
        return value

    def unpack(self, unpacker: Unpacker) -> str:
        """Returns the next string."""
        return self.pack(unpacker.unpack())


@dataclass(frozen=True)
class BytesField:
    """A byte string of limited length."""

    minimum_bytes: int
    maximum_bytes: int

    def pack(self, value: object) -> bytes:
        """Returns ``value`` if its length is in range."""
        if type(value) is not bytes:
            raise PeerCodecError(f"expected bytes, got {type(value).__name__}")
        if not self.minimum_bytes <= len(value) <= self.maximum_bytes:
            raise PeerCodecError(
                f"{len(value)} bytes, allowed are"
                f" {self.minimum_bytes} to {self.maximum_bytes}"
            )
        return value

    def unpack(self, unpacker: Unpacker) -> bytes:
        """Returns the next byte string."""
        return self.pack(unpacker.unpack())


class RecordField:
    """A frozen data class, encoded as an array of its fields in their order.

    The decoder skips unknown trailing fields and uses the default of a trailing field
    that an older release did not send, so that a field with a default can be added
    without a new protocol version.
    """

    def __init__(
        self,
        build: Callable[..., Any],
        fields: Sequence[tuple[str, WireField]],
        required: int | None = None,
    ) -> None:
        """Describes a record.

        :param build: Called with the values in the order of ``fields``.
        :param fields: Attribute names and their field types, in wire order.
        :param required: Number of leading fields that a message must contain; all by
            default.
        """
        self._build = build
        self._fields = tuple(fields)
        self._required = len(self._fields) if required is None else required

    @property
    def field_names(self) -> list[str]:
        """The names of the encoded attributes, in wire order."""
        return [name for name, _ in self._fields]

    def pack(self, value: object) -> list[Any]:
        """Returns the array of the fields of ``value``."""
        return [self._pack_field(value, name, field) for name, field in self._fields]

    def _pack_field(self, value: object, name: str, field: WireField) -> Any:  # noqa: ANN401
        try:
            return field.pack(getattr(value, name))
        except PeerCodecError as error:
            raise PeerCodecError(f"{name}: {error}") from None

    def unpack(self, unpacker: Unpacker) -> Any:  # noqa: ANN401
        """Returns the record decoded from the next array."""
        return self.unpack_values(unpacker, unpacker.read_array_header())

    def unpack_values(self, unpacker: Unpacker, count: int) -> Any:  # noqa: ANN401
        """Returns the record decoded from the next ``count`` values."""
        if count < self._required:
            raise PeerCodecError(f"{count} fields, at least {self._required} expected")
        values = []
        for name, field in self._fields[:count]:
            try:
                values.append(field.unpack(unpacker))
            except PeerCodecError as error:
                raise PeerCodecError(f"{name}: {error}") from None
        for _ in range(count - len(values)):
            unpacker.skip()
        return self._build(*values)


class TupleField:
    """A tuple of at most ``maximum_items`` items of one field type."""

    def __init__(self, item: WireField, maximum_items: int) -> None:
        self._item = item
        self._maximum_items = maximum_items

    def pack(self, value: object) -> list[Any]:
        """Returns the list of the packed items."""
        if type(value) is not tuple:
            raise PeerCodecError(f"expected a tuple, got {type(value).__name__}")
        self._check_count(len(value))
        return [self._item.pack(item) for item in value]

    def unpack(self, unpacker: Unpacker) -> tuple[Any, ...]:
        """Returns the items of the next array."""
        count = unpacker.read_array_header()
        self._check_count(count)
        return tuple([self._item.unpack(unpacker) for _ in range(count)])

    def _check_count(self, count: int) -> None:
        if count > self._maximum_items:
            raise PeerCodecError(
                f"{count} items, at most {self._maximum_items} allowed"
            )


class MappedField:
    """A value that is converted to another field type for encoding."""

    def __init__(
        self,
        wire: WireField,
        to_wire: Callable[[Any], Any],
        from_wire: Callable[[Any], Any],
    ) -> None:
        self._wire = wire
        self._to_wire = to_wire
        self._from_wire = from_wire

    def pack(self, value: object) -> Any:  # noqa: ANN401
        """Returns the packed form of the converted value."""
        try:
            mapped = self._to_wire(value)
        except (AttributeError, KeyError, TypeError):
            raise PeerCodecError(
                f"a value of type {type(value).__name__} has no wire form"
            ) from None
        return self._wire.pack(mapped)

    def unpack(self, unpacker: Unpacker) -> Any:  # noqa: ANN401
        """Returns the value converted from the next wire value."""
        return self._from_wire(self._wire.unpack(unpacker))


#: Upper bound of counts, sequence numbers and request ids.
MAXIMUM_COUNT = 2**63 - 1
#: Upper bound of durations and bucket levels; far above any value in use.
MAXIMUM_NUMBER = 1e12

COUNT = IntegerField(0, MAXIMUM_COUNT)
SHARD_SET = IntegerField(0, 2**64 - 1)
#: An age in seconds; infinite for "never", as for a revision never confirmed.
AGE_SECONDS = FloatField(0.0, math.inf)
DURATION_SECONDS = FloatField(0.0, MAXIMUM_NUMBER)
