//! Names as types, so that a cluster's is never taken for an endpoint's. Cheap to clone; ordered by their
//! bytes.

use crate::invalid::Invalid;
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// A name of any text; what is not usable as one is rejected by whoever takes it in.
            pub fn new(text: impl Into<Arc<str>>) -> $name {
                $name(text.into())
            }

            /// The text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name! {
    /// The name of a cluster: a set of endpoints that serve the same requests.
    ClusterName
}
name! {
    /// The id of an endpoint, unique in its cluster and the same at every proxy. It, and never the address,
    /// says which endpoint is meant.
    EndpointName
}
name! {
    /// The name of a source, as it was configured.
    SourceId
}
name! {
    /// A version as its source writes it.
    ///
    /// Opaque, as xDS demands: a control plane that restarts may begin again at 1, and of two versions only
    /// the source knows which is newer. The catalog shows it and decides nothing by it.
    Version
}
name! {
    /// The name of a zone or of a machine kind; empty where nothing is known. Endpoints share it if the
    /// source clones it.
    Label
}

impl ClusterName {
    /// What keeps this from being the name of a cluster, if anything.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), Invalid> {
        fault_of(self.as_str()).map_or(Ok(()), |fault| Err(Invalid::ClusterName { fault }))
    }
}

impl Default for Label {
    fn default() -> Label {
        Label("".into())
    }
}

impl From<u64> for Version {
    fn from(number: u64) -> Version {
        Version::new(number.to_string())
    }
}

/// Longest name, in bytes: names go into logs and metrics, and a domain name has no more than 253.
pub(crate) const LONGEST_NAME: usize = 256;

/// What keeps a text from being the name of a cluster or of an endpoint, if anything. Blanks and control
/// characters are turned away because names are printed in lines and tables.
pub(crate) fn fault_of(name: &str) -> Option<&'static str> {
    match name {
        "" => Some("is empty"),
        n if n.len() > LONGEST_NAME => Some("is longer than 256 bytes"),
        n if n.bytes().all(|b| b.is_ascii_graphic()) => None, // nearly all: spares the decoding
        n if n.chars().any(|c| c.is_whitespace() || c.is_control()) => {
            Some("holds a blank or control character")
        }
        _ => None,
    }
}
