"""Encodes messages as msgpack and validates them when decoding."""

from dataclasses import fields
from typing import Any

import msgpack
from pydantic import BaseModel, ConfigDict, ValidationError, create_model

from comfreywind.errors import PeerError
from comfreywind.peers.frame_reader import FRAME_HEADER, FRAME_LIMIT_BYTES
from comfreywind.peers.peer_message import PeerMessage

TYPE_FIELD = 'type'
# An empty map takes one byte in msgpack but 64 bytes in memory, so the number of maps and arrays is
# limited to keep the memory of a decoded frame near its length.
CONTAINER_COUNT_LIMIT = 20_000
CONTAINER_LENGTH_LIMIT = 65_536
DECODE_ERRORS = (ValueError, TypeError, msgpack.exceptions.UnpackException, UnicodeDecodeError)


class MessageCodec:
    """Encodes messages and decodes those of the registered types."""

    def __init__(self) -> None:
        """Create a codec without registered types."""
        self._types: dict[str, type[PeerMessage]] = {}
        self._models: dict[str, type[BaseModel]] = {}
        self._field_names: dict[type[PeerMessage], tuple[str, ...]] = {}

    def add_type(self, message_type: type[PeerMessage]) -> None:
        """Register a message type for decoding; registering it again has no effect."""
        name = message_type.__name__
        if name not in self._types:
            self._types[name] = message_type
            self._models[name] = _create_validation_model(message_type)

    def encode(self, message: PeerMessage) -> bytes:
        """Return the message as a frame; raise PeerError if its payload exceeds the frame limit."""
        names = self._get_field_names(type(message))
        document: dict[str, Any] = {name: getattr(message, name) for name in names}
        document[TYPE_FIELD] = type(message).__name__
        payload: bytes = msgpack.packb(document)
        if len(payload) > FRAME_LIMIT_BYTES:
            raise PeerError(f'a {type(message).__name__} of {len(payload)} bytes is too large')
        return FRAME_HEADER.pack(len(payload)) + payload

    def decode(self, payload: bytes) -> PeerMessage:
        """Return the message in the payload of a frame; raise PeerError if it is not valid."""
        document = _unpack(payload)
        if not isinstance(document, dict):
            raise PeerError('the payload of a frame is not a msgpack map')
        name = document.pop(TYPE_FIELD, None)
        message_type = self._types.get(name) if isinstance(name, str) else None
        if message_type is None:
            raise PeerError(f'message type {name!r:.80} is unknown')
        try:
            model = self._models[message_type.__name__].model_validate(document)
        except ValidationError as error:
            raise PeerError(f'a malformed {name}: {_format_first_error(error)}') from error
        return message_type(*(getattr(model, name) for name in self._get_field_names(message_type)))

    def _get_field_names(self, message_type: type[PeerMessage]) -> tuple[str, ...]:
        names = self._field_names.get(message_type)
        if names is None:
            names = tuple(field.name for field in fields(message_type))
            self._field_names[message_type] = names
        return names


def _unpack(payload: bytes) -> Any:
    container_counter = _ContainerCounter()
    try:
        return msgpack.unpackb(
            payload,
            use_list=False,
            max_array_len=CONTAINER_LENGTH_LIMIT,
            max_map_len=CONTAINER_LENGTH_LIMIT,
            max_ext_len=0,
            object_hook=container_counter,
            list_hook=container_counter,
        )
    except DECODE_ERRORS as error:
        raise PeerError(f'a frame is no msgpack document: {error!r:.200}') from error


class _ContainerCounter:
    """Counts decoded maps and arrays and raises ValueError above the limit."""

    def __init__(self) -> None:
        self._count = 0

    def __call__(self, container: Any) -> Any:
        """Count one map or array and return it unchanged."""
        self._count += 1
        if self._count > CONTAINER_COUNT_LIMIT:
            raise ValueError(f'more than {CONTAINER_COUNT_LIMIT} maps and arrays')
        return container


def _create_validation_model(message_type: type[PeerMessage]) -> type[BaseModel]:
    model_fields: dict[str, Any] = {field.name: (field.type, ...) for field in fields(message_type)}
    model_config = ConfigDict(extra='forbid', strict=True)
    return create_model(message_type.__name__, __config__=model_config, **model_fields)


def _format_first_error(error: ValidationError) -> str:
    first = error.errors(include_input=False, include_url=False)[0]
    path = '.'.join(str(part) for part in first['loc'])
    return f'{path}: {first["msg"]}'
