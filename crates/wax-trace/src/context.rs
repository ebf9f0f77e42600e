//! The W3C `traceparent` header: which trace a request belongs to.

use std::fmt;
use std::str::FromStr;
use tracing::Span;

/// Position in a distributed trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// The trace; never 0.
    pub trace_id: u128,
    /// The span of the hop that this context was made for; never 0.
    pub span_id: u64,
    /// Whether the hops of this trace are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// The name of the header.
    pub const HEADER: &'static str = "traceparent";

    /// Starts a trace; one in `one_in` traces is sampled, none if it is 0.
    pub fn start(one_in: u32) -> Self {
        Self {
            trace_id: fastrand::u128(1..),
            span_id: fastrand::u64(1..),
            sampled: one_in > 0 && fastrand::u32(0..one_in) == 0,
        }
    }

    /// The context of the next hop.
    pub fn child(self) -> Self {
        Self {
            span_id: fastrand::u64(1..),
            ..self
        }
    }

    /// A span for one hop of the request, disabled where the trace is not sampled.
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

/// The header is not a `traceparent` of version 00.
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
