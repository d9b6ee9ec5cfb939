//! Parses the settings object of an instance. The simulator's adapter and the proxy both use it.
//!
//! Only `grades` is required, with the name, latency objective, deadline and effect of each class. Every
//! other key defaults to the value in [`Settings`](olivecart_decisions::Settings). Unknown keys are ignored.
//! Errors name the key at fault.
//!
//! `object` declares the keys as they are written, `convert` turns them into the settings of the decision
//! module, and [`Site`] adds the numeric ids of names. This crate does no I/O and makes no routing decisions.

mod convert;
mod error;
mod load;
mod names;
mod object;
mod site;

pub use error::SettingsError;
pub use load::load_field;
pub use names::NameTable;
pub use site::{ListedEndpoint, Site};
