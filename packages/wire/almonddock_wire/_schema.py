"""The schema, loaded once."""

import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()

_LOADED: Any = capnp.load(
    str(pathlib.Path(__file__).with_name('messages.capnp')),
)

#: The schema of a frame; pycapnp publishes no types for it.
FRAME: Any = _LOADED.Frame
