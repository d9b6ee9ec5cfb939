//! The operators' format: what files say, before layers are put together. The JSON Schema and the reference are
//! generated from these types, and their comments are what both say.

mod application;
mod fleet;
mod overrides;
mod proxy;

pub use application::{Admin, Application, Call, ClassChange, Inbound, Route};
pub use fleet::{
    Budget, Class, DeduplicationScope, Fleet, Idempotency, RetryRule, Source, Tenant, Tier, Variant,
};
pub use overrides::{LogForm, Overrides};
pub use proxy::{Outbound, Proxy, ProxyClass};

/// The version of the format.
pub const VERSION: u32 = 1;

/// The kinds of files, as their `kind` says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A fleet: what its applications have in common.
    Fleet,
    /// An application: what is its own.
    Application,
    /// What one proxy reads: written, not edited.
    Proxy,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 3] = [Kind::Fleet, Kind::Application, Kind::Proxy];

    /// As files write it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Fleet => "fleet",
            Kind::Application => "application",
            Kind::Proxy => "proxy",
        }
    }
}
