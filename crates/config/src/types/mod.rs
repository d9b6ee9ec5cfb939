//! The types of configuration files, before layers are merged. The JSON Schemas and the reference are
//! generated from these types; their doc comments become the descriptions in both.

mod application;
mod fleet;
mod overrides;
mod proxy;

pub use application::{Admin, Application, Call, ClassChange, Inbound, Route};
pub use fleet::{
    Budget, Class, DeduplicationScope, Fleet, Idempotency, RetryRule, Source, Tenant, Tier, Variant,
};
pub use overrides::{LogFormat, Overrides};
pub use proxy::{Outbound, Proxy, ProxyClass};

/// The version of the format.
pub const VERSION: u32 = 1;

/// The kinds of configuration files, as given by the key `kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A fleet: values shared by its applications.
    Fleet,
    /// An application: its own values.
    Application,
    /// The generated configuration of one proxy.
    Proxy,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Fleet, Kind::Application, Kind::Proxy];

    /// Returns the value of the key `kind`.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Fleet => "fleet",
            Kind::Application => "application",
            Kind::Proxy => "proxy",
        }
    }
}
