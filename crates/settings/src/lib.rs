//! The settings object of an instance, read once for the simulator's adapter and for the proxy.
//!
//! `grades` is needed, and in it what tells a class from another; every other key has the default of
//! [`Settings`](olivecart_decisions::Settings). Unknown keys are skipped. What is wrong is named by its key.
//!
//! `object` has the keys as they are written, `convert` turns them into what the decisions are told, and [`Site`] adds
//! the numbers of names. No I/O; nothing here decides where a request goes.

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
