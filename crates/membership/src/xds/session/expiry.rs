//! Expiry of resources with a time to live. The session calls [`Session::expire`] when the timer is due.

use super::cluster_store::PendingUpdates;
use super::event::Output;
use super::notice::SessionNotice;
use super::state_machine::Session;
use super::timers::Timer;
use crate::event::Silence;
use crate::names::Version;
use crate::xds::resource::Kind;

impl Session {
    /// Removes a resource whose time to live has passed. If the control plane sent no response in the second
    /// half of that time, the time to live is restarted instead and the source is reported silent, which
    /// makes its clusters stale.
    ///
    /// Without this, a control plane that hangs would remove all its clusters from all proxies at once.
    pub(super) fn expire(&mut self, kind: Kind, name: String, out: &mut Vec<Output>) {
        let Some(lease) = self.leases.get_mut(kind, &name) else { return };
        if self.last_response_at <= lease.renewed_at.saturating_add(lease.ttl / 2) {
            lease.renewed_at = self.now;
            let next = self.now.saturating_add(lease.ttl);
            self.timers.set(Timer::Expire(kind, name.clone()), next);
            if !self.is_silent {
                out.push(Output::Log(SessionNotice::ExpiryPostponed { name }));
                self.report_silent(Silence::Quiet, out);
            }
            return;
        }
        self.leases.remove(kind, &name);
        let version = Version::new(self.subscription(kind).version.as_str());
        let mut pending = PendingUpdates::default();
        match kind {
            Kind::Cluster => self.store.remove(&name.as_str().into(), &mut pending),
            Kind::Assignment => self.store.withdraw_endpoints(self.now, &name, &version, &mut pending),
        }
        out.push(Output::Log(SessionNotice::Expired { kind, name: name.clone() }));
        self.publish(pending, out);
        // The next stream must not report the version of an expired resource, or it would not be sent again.
        self.subscription(kind).forget(&name);
        self.subscribe(out);
    }
}
