//! The listeners of a proxy, and whether two of them can be bound at the same time.

use crate::document::{Key, top};
use crate::resolve::Resolved;
use std::net::SocketAddr;

/// Something that is bound to an address.
pub(super) struct Listener {
    /// The key of its address in what the proxy reads.
    pub key: Key,
    pub address: SocketAddr,
    /// What messages call it.
    pub description: String,
    /// Whether only its own machine should reach it.
    pub is_local: bool,
}

/// An address as it is compared with others: one that is mapped into IPv6 is the IPv4 one.
pub(super) fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// Whether two cannot both be bound: one port, and one address or either for all of its kind. A listener for
/// all of IPv6 takes the port of IPv4 as well, unless the system is set up otherwise.
pub(super) fn collide(first: SocketAddr, second: SocketAddr) -> bool {
    let first = canonical(first);
    let second = canonical(second);
    first.port() == second.port()
        && (first.ip() == second.ip() || covers(first, second) || covers(second, first))
}

/// Whether the first is bound to all addresses of the second's kind.
fn covers(first: SocketAddr, second: SocketAddr) -> bool {
    first.ip().is_unspecified() && (first.is_ipv6() || second.is_ipv4())
}

/// What a proxy itself listens at.
pub(super) fn proxy_listeners(resolved: &Resolved) -> Vec<Listener> {
    let proxy = &resolved.proxy;
    let mut listeners = Vec::new();
    if let Some(inbound) = &proxy.inbound {
        listeners.push(Listener {
            key: top("inbound").name("listen"),
            address: inbound.listen,
            description: "the inbound listener".to_owned(),
            is_local: false,
        });
    }
    if let Some(admin) = &proxy.admin {
        listeners.push(Listener {
            key: top("admin").name("listen"),
            address: admin.listen,
            description: "the admin listener".to_owned(),
            is_local: true,
        });
    }
    for (i, call) in proxy.outbound.iter().enumerate() {
        listeners.push(Listener {
            key: top("outbound").at(i).name("listen"),
            address: call.listen,
            description: format!("the listener for {}", call.application),
            is_local: true,
        });
    }
    listeners
}

/// What a proxy and its application listen at.
pub(super) fn all_listeners(resolved: &Resolved) -> Vec<Listener> {
    let mut listeners = proxy_listeners(resolved);
    if let Some(inbound) = &resolved.proxy.inbound {
        listeners.push(Listener {
            key: top("inbound").name("application"),
            address: inbound.application,
            description: "the application itself".to_owned(),
            is_local: false,
        });
    }
    listeners
}

#[cfg(test)]
mod tests;
