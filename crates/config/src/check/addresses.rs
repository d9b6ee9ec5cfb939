//! Addresses: every listener can be bound, and reaches whom it should.

use super::Model;
use super::pair::on_one_machine;
use crate::document::{Key, top};
use crate::resolve::{Resolved, plain};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A place where something listens.
pub(super) struct Listener {
    pub key: Key,
    pub address: SocketAddr,
    /// As messages call it.
    pub what: String,
    /// Only this machine's own should reach it.
    pub own: bool,
}

/// Whether two cannot both be bound: one port, and one address or either for all of its kind. A listener for all
/// of IPv6 takes the port of IPv4 as well, unless the system is set up otherwise.
pub(super) fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let (a, b) = (plain(a), plain(b));
    let covers = |a: SocketAddr, b: SocketAddr| a.ip().is_unspecified() && (a.is_ipv6() || b.is_ipv4());
    a.port() == b.port() && (a.ip() == b.ip() || covers(a, b) || covers(b, a))
}

/// Where a proxy listens, and with `application` its application too.
pub(super) fn listeners(resolved: &Resolved, application: bool) -> Vec<Listener> {
    let proxy = &resolved.proxy;
    let mut all = Vec::new();
    let mut add =
        |key, address: SocketAddr, what: String, own| all.push(Listener { key, address, what, own });
    if let Some(inbound) = &proxy.inbound {
        add(top("inbound").name("listen"), inbound.listen, "the inbound listener".into(), false);
    }
    if let Some(admin) = &proxy.admin {
        add(top("admin").name("listen"), admin.listen, "the admin listener".into(), true);
    }
    for (i, call) in proxy.outbound.iter().enumerate() {
        let what = format!("the listener for {}", call.application);
        add(top("outbound").at(i).name("listen"), call.listen, what, true);
    }
    if let Some(inbound) = proxy.inbound.as_ref().filter(|_| application) {
        add(top("inbound").name("application"), inbound.application, "the application itself".into(), false);
    }
    all
}

impl Model<'_> {
    pub(super) fn addresses(&mut self, at: usize) {
        let name = self.resolved[at].proxy.name.clone();
        let listeners = listeners(&self.resolved[at], false);
        let application = self.resolved[at].proxy.inbound.as_ref().map(|inbound| inbound.application);
        for (i, one) in listeners.iter().enumerate() {
            let place = self.spot_of(at, &one.key);
            let address = one.address;
            if address.port() == 0 {
                self.found(at, "OC0305", format!("{} of {name:?} has port 0", one.what), place);
                continue;
            }
            if address.port() < 1024 {
                self.found(
                    at,
                    "OC0306",
                    format!("{} of {name:?} has port {}", one.what, address.port()),
                    place.clone(),
                );
            }
            if one.own && !plain(address).ip().is_loopback() {
                self.found(
                    at,
                    "OC0304",
                    format!("{} of {name:?}, {address}, is not on loopback", one.what),
                    place.clone(),
                );
            }
            if application.is_some_and(|to| collide(to, address)) {
                let other = self.spot_of(at, &top("inbound").name("application"));
                let what = format!("{} of {name:?} and the application listen at {address}", one.what);
                let finding = self.found(at, "OC0303", what, place.clone());
                *finding = finding.clone().beside(other, "the application");
            }
            for before in listeners[..i].iter().filter(|before| collide(before.address, address)) {
                let other = self.spot_of(at, &before.key);
                let what = format!("{} and {} of {name:?} are both at {address}", one.what, before.what);
                let finding = self.found(at, "OC0301", what, place.clone());
                *finding = finding.clone().beside(other, before.what.clone());
            }
        }
        if let Some(to) = application.filter(|to| to.port() == 0) {
            let place = self.spot_of(at, &top("inbound").name("application"));
            self.found(at, "OC0305", format!("the application of {name:?} is at {to}: port 0"), place);
        }
    }

    /// Applications of one machine against each other, once layers are applied.
    pub(super) fn machines(&mut self) {
        let mut machines: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (at, one) in self.resolved.iter().enumerate() {
            machines.entry(&one.machine).or_default().push(at);
        }
        for all in machines.values() {
            for (i, second) in all.iter().enumerate() {
                for first in &all[..i] {
                    // One finding for two of them: the rest is seen when the first is mended.
                    let clash =
                        on_one_machine(&self.resolved[*first], &self.resolved[*second]).into_iter().next();
                    clash.into_iter().for_each(|clash| self.clash(clash, *first, *second));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn addresses_collide_as_the_system_sees_it() {
        for (a, b, expected) in [
            ("127.0.0.1:80", "127.0.0.1:80", true),
            ("127.0.0.1:80", "127.0.0.1:81", false),
            ("127.0.0.1:80", "127.0.0.2:80", false),
            ("0.0.0.0:80", "127.0.0.1:80", true),
            ("[::ffff:127.0.0.1]:80", "127.0.0.1:80", true),
            ("[::1]:80", "127.0.0.1:80", false),
            ("[::]:80", "127.0.0.1:80", true),
            ("[::]:80", "0.0.0.0:80", true),
            ("0.0.0.0:80", "[::1]:80", false),
        ] {
            let (a, b): (SocketAddr, SocketAddr) = (a.parse().unwrap(), b.parse().unwrap());
            assert_eq!((collide(a, b), collide(b, a)), (expected, expected), "{a} {b}");
        }
    }
}
