"""The entry host: serves callers from targets that a store lists.

The gateway knows no names of an outside platform. An adapter gives it
:class:`~almonddock_gateway.settings.GatewaySettings`, a store and decoders,
and starts :class:`~almonddock_gateway.host.GatewayHost` with them.
"""
