//! The listeners of a proxy, and a check whether two addresses can be bound at the same time.

use crate::document::{Key, top};
use crate::resolve::Resolved;
use std::net::SocketAddr;

/// A listener, by its address.
pub(super) struct Listener {
    /// The key of the address in the proxy file.
    pub key: Key,
    pub address: SocketAddr,
    /// The name of the listener in messages.
    pub description: String,
    /// Whether only the proxy's own machine should reach the listener.
    pub is_local: bool,
}

/// Returns the form of an address in which it is compared: IPv4-mapped IPv6 addresses become IPv4 addresses.
pub(super) fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// Returns whether two addresses cannot both be bound: the ports are equal, and the IP addresses are equal or
/// one is a wildcard that includes the other. An IPv6 wildcard listener also takes the IPv4 port, unless the
/// system is configured otherwise.
pub(super) fn collide(first: SocketAddr, second: SocketAddr) -> bool {
    let first = canonical(first);
    let second = canonical(second);
    first.port() == second.port()
        && (first.ip() == second.ip() || covers(first, second) || covers(second, first))
}

/// Returns whether the first address is a wildcard that includes the second.
fn covers(first: SocketAddr, second: SocketAddr) -> bool {
    first.ip().is_unspecified() && (first.is_ipv6() || second.is_ipv4())
}

/// Returns the listeners of a proxy.
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

/// Returns the listeners of a proxy and of its application.
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
