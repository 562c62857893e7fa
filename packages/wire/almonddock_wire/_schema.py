"""Loads the Cap'n Proto schema of the messages."""

import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()

_LOADED: Any = capnp.load(
    str(pathlib.Path(__file__).with_name('messages.capnp')),
)

#: The schema of a frame; typed as ``Any``, because pycapnp provides no types.
FRAME: Any = _LOADED.Frame
