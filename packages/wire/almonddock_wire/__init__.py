"""Messages between hosts, encoded with pycapnp."""
