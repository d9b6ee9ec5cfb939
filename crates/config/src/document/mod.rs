//! Generic support for TOML documents: values with their locations in the text, checks against a JSON Schema,
//! durations and sizes. Used for the operators' configuration files and the lab's scenarios; independent of
//! the contents of either.

mod diagnostic;
mod key;
mod nearest;
mod range;
pub mod shape;
mod size;
mod source;
mod source_span;
mod span;

pub use diagnostic::{Diagnostic, DiagnosticKind, Diagnostics};
pub use key::{Key, KeyPart, top};
pub use nearest::{nearest, suggestion};
pub use size::{ParseSizeError, Size};
pub use source::{ParsedDocument, Source, SyntaxError};
pub use source_span::SourceSpan;
pub use span::{ParseSpanError, Span};
