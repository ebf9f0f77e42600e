//! Trace context of a request, as carried by the W3C `traceparent` header.

use std::fmt;
use std::str::FromStr;
use tracing::Span;

/// Position of one hop in a distributed trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace; never 0.
    pub trace_id: u128,
    /// Id of the hop's span; never 0.
    pub span_id: u64,
    /// Whether spans of this trace are logged.
    pub sampled: bool,
}

impl TraceContext {
    /// Name of the HTTP header.
    pub const HEADER: &'static str = "traceparent";

    /// Starts a trace. One in `one_in` traces is sampled at random; none if `one_in` is 0.
    pub fn start(one_in: u32) -> Self {
        Self {
            trace_id: fastrand::u128(1..),
            span_id: fastrand::u64(1..),
            sampled: one_in > 0 && fastrand::u32(0..one_in) == 0,
        }
    }

    /// Returns a context for the next hop: the same trace with a new span id.
    pub fn child(self) -> Self {
        Self {
            span_id: fastrand::u64(1..),
            ..self
        }
    }

    /// Returns a logging span for one hop of the request; disabled if the trace is not sampled.
    pub fn hop_span(self, hop: &'static str, parent: Option<Self>) -> Span {
        if !self.sampled {
            return Span::none();
        }
        let parent = parent.map_or(0, |context| context.span_id);
        tracing::info_span!(
            target: "waxwing::hop",
            "hop",
            hop,
            trace_id = %format_args!("{:032x}", self.trace_id),
            span_id = %format_args!("{:016x}", self.span_id),
            parent_id = %format_args!("{parent:016x}"),
            outcome = tracing::field::Empty,
        )
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            f,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

/// Error for a header that is not a valid `traceparent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseTraceError;

impl FromStr for TraceContext {
    type Err = ParseTraceError;

    fn from_str(text: &str) -> Result<Self, ParseTraceError> {
        let mut parts = text.trim().split('-');
        let mut part = |length: usize| {
            parts
                .next()
                .filter(|part| part.len() == length && part.is_ascii())
                .ok_or(ParseTraceError)
        };
        let version = part(2)?;
        let trace_id = u128::from_str_radix(part(32)?, 16).map_err(|_| ParseTraceError)?;
        let span_id = u64::from_str_radix(part(16)?, 16).map_err(|_| ParseTraceError)?;
        let flags = u8::from_str_radix(part(2)?, 16).map_err(|_| ParseTraceError)?;
        if version == "ff" || trace_id == 0 || span_id == 0 {
            return Err(ParseTraceError);
        }
        Ok(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }
}
