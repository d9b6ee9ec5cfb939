//! Distinct types for the names of clusters, endpoints, sources and labels. They are cheap to clone and
//! ordered by their bytes.

use crate::invalid::Invalid;
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from any text. Validation is left to the code that accepts the name.
            pub fn new(text: impl Into<Arc<str>>) -> $name {
                $name(text.into())
            }

            /// Returns the name as a string.
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
    /// The id of an endpoint, unique in its cluster and the same at every proxy. The id identifies the
    /// endpoint; the address does not.
    EndpointName
}
name! {
    /// The configured name of a source.
    SourceId
}
name! {
    /// A version string of a source.
    ///
    /// Opaque, as xDS requires: a control plane may restart its numbering at 1, so only the source knows
    /// which of two versions is newer. The catalog reports versions but makes no decisions based on them.
    Version
}
name! {
    /// The name of a zone or of a machine type; empty if unknown. Endpoints share its memory if the source
    /// clones the label.
    Label
}

impl ClusterName {
    /// Checks that this is a valid name of a cluster.
    ///
    /// # Errors
    /// Returns [`Invalid::ClusterName`] with the fault.
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

/// The maximum length of a name: names appear in logs and metrics, and a domain name has at most 253 bytes.
pub(crate) const MAX_NAME_BYTES: usize = 256;

/// Returns why a text is no valid name of a cluster or an endpoint, or `None` if it is one. Whitespace and
/// control characters are rejected because names are printed in lines and tables.
pub(crate) fn fault_of(name: &str) -> Option<&'static str> {
    match name {
        "" => Some("is empty"),
        n if n.len() > MAX_NAME_BYTES => Some("is longer than 256 bytes"),
        n if n.bytes().all(|b| b.is_ascii_graphic()) => None, // the common case, without decoding UTF-8
        n if n.chars().any(|c| c.is_whitespace() || c.is_control()) => {
            Some("contains whitespace or a control character")
        }
        _ => None,
    }
}
