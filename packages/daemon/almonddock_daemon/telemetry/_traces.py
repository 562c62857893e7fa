"""Traces: spans for entry host, owner and target, in W3C trace context."""

import sys
from collections.abc import Mapping

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, format_span_id, format_trace_id
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from almonddock_daemon.settings import TraceSettings

#: The last hex digits of a traceparent whose sampled bit is set.
_SAMPLED_DIGITS = frozenset('13579bdf')
_HEADER = 'traceparent'

SpanAttributes = Mapping[str, str | int | float]


class TraceSpan:
    """One span; does nothing if none was created."""

    def __init__(self, span: Span | None, traceparent: str) -> None:
        self._span = span
        #: The trace context for the children of this span.
        self.traceparent = traceparent

    def end(self, attributes: SpanAttributes | None = None) -> None:
        """Ends the span with its last attributes."""
        if self._span is not None:
            self._span.set_attributes(dict(attributes or {}))
            self._span.end()


class Tracing:
    """Starts spans and exports them as the settings say."""

    def __init__(self, settings: TraceSettings, host: str) -> None:
        self._enabled = settings.export != 'none'
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.share)),
            resource=Resource.create(
                {'service.name': 'almonddock', 'host.name': host},
            ),
        )
        if settings.export == 'otlp':
            self._provider.add_span_processor(
                BatchSpanProcessor(_build_exporter(str(settings.endpoint))),
            )
        elif settings.export == 'lines':
            self._provider.add_span_processor(
                SimpleSpanProcessor(
                    ConsoleSpanExporter(out=sys.stderr, formatter=_format_span),
                ),
            )
        self._tracer = self._provider.get_tracer('almonddock')
        self._propagator = TraceContextTextMapPropagator()

    def start_span(
        self,
        name: str,
        traceparent: str,
        attributes: SpanAttributes | None = None,
    ) -> TraceSpan:
        """Starts a child span of ``traceparent``, or a root span if empty.

        To save work, no span is created if the parent is not sampled or the
        export is off.
        """
        has_parent = bool(traceparent)
        if has_parent and traceparent[-1] not in _SAMPLED_DIGITS:
            return TraceSpan(None, traceparent)
        if not self._enabled:
            return TraceSpan(None, traceparent)
        span = self._tracer.start_span(
            name,
            context=self._propagator.extract({_HEADER: traceparent}),
            attributes=attributes,
        )
        return TraceSpan(span, _format_traceparent(span))

    def stop(self) -> None:
        """Flushes the pending spans and shuts the exporter down."""
        self._provider.shutdown()


def _build_exporter(endpoint: str) -> SpanExporter:
    # Imported on use: the exporter and its dependencies take 10 MB of memory.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (  # noqa: WPS433
        OTLPSpanExporter,
    )

    return OTLPSpanExporter(f'{endpoint}/v1/traces')


def _format_traceparent(span: Span) -> str:
    context = span.get_span_context()
    trace_id = format_trace_id(context.trace_id)
    span_id = format_span_id(context.span_id)
    return f'00-{trace_id}-{span_id}-{context.trace_flags:02x}'


def _format_span(span: ReadableSpan) -> str:
    return f'{span.to_json(indent=None)}\n'
