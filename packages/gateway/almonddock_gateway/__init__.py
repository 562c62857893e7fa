"""The gateway host: serves callers from the targets listed in a store.

The gateway does not depend on a platform. An adapter creates
:class:`~almonddock_gateway.settings.GatewaySettings`, a store and decoders,
and starts :class:`~almonddock_gateway.host.GatewayHost` with them.
"""
