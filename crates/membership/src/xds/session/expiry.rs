//! The end of a resource whose time to live is over. The session calls it when the timer is due.

use super::cluster_store::PendingUpdates;
use super::event::Output;
use super::notice::SessionNotice;
use super::state_machine::Session;
use super::timers::Timer;
use crate::event::Silence;
use crate::names::Version;
use crate::xds::resource::Kind;

impl Session {
    /// A time to live is over. If nothing at all has come in its second half, that is silence: then the
    /// resource gets as much time again, and its clusters age.
    ///
    /// Danger: a control plane that hangs would otherwise remove all its clusters from all proxies at once.
    pub(super) fn expire(&mut self, kind: Kind, name: String, out: &mut Vec<Output>) {
        let Some(lease) = self.leases.get_mut(kind, &name) else { return };
        if self.last_response_at <= lease.since.saturating_add(lease.ttl / 2) {
            lease.since = self.now;
            let next = self.now.saturating_add(lease.ttl);
            self.timers.set(Timer::Expire(kind, name.clone()), next);
            if !self.is_silent {
                out.push(Output::Log(SessionNotice::Quiet { name }));
                self.report_silent(Silence::Quiet, out);
            }
            return;
        }
        self.leases.remove(kind, &name);
        let version = Version::new(self.subscription(kind).version.as_str());
        let mut pending = PendingUpdates::default();
        match kind {
            Kind::Cluster => self.store.remove(&name.as_str().into(), &mut pending),
            Kind::Assignment => self.store.withdraw(self.now, &name, &version, &mut pending),
        }
        out.push(Output::Log(SessionNotice::Expired { kind, name: name.clone() }));
        self.publish(pending, out);
        // What has expired is not held any more, so that another stream must tell it anew.
        self.subscription(kind).forget(&name);
        self.subscribe(out);
    }
}
