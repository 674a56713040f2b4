"""Network addresses written as `ip:port`."""

import ipaddress
from dataclasses import dataclass
from typing import Annotated

from pydantic import BeforeValidator, PlainSerializer

HIGHEST_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`."""
        return f'{self.host}:{self.port}'


def parse_address(text: object) -> Address:
    """Return the address written as `ip:port`; raise ValueError for any other text."""
    if isinstance(text, Address):
        return text
    host, _, port = str(text).rpartition(':')
    ipaddress.ip_address(host)
    if not port.isdigit() or int(port) > HIGHEST_PORT:
        raise ValueError(f'{port!r} is no port number')
    return Address(host, int(port))


AddressField = Annotated[Address, BeforeValidator(parse_address), PlainSerializer(str)]
