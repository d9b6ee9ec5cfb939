//! TOML files as people write them: values with their places in the text, checks against a schema, lengths of
//! time, sizes. Used for the operators' format and for the lab's scenarios; nothing here knows what a file is
//! about.

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
pub use size::{BadSize, Size};
pub use source::{NotToml, ParsedDocument, Source};
pub use source_span::SourceSpan;
pub use span::{BadSpan, Span};
