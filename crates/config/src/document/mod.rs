//! TOML files as people write them: values with their places, checks against a schema, lengths of time, sizes.
//! Nothing here knows what a file is about.

mod key;
mod nearest;
mod place;
pub mod shape;
mod size;
mod source;
mod span;

pub use key::{Key, top};
pub use nearest::{instead, nearest};
pub use place::{Complaint, Complaints, Fault, Place};
pub use size::{BadSize, Size};
pub use source::{NotToml, Source};
pub use span::{BadSpan, Span};
