//! What follows from a response.

use super::config::Variant;
use super::message::{Batch, Response, Told, What};
use super::note::Reasons;
use super::timers::Timer;
use super::world::Telling;
use super::{Output, Session, SessionNotice, send};
use crate::invalid::Invalid;
use crate::names::{ClusterName, Version};
use crate::xds::resource::{BadResource, ClusterResource, Kind, Origin, Problem};
use std::collections::BTreeSet;

impl Session {
    pub(super) fn response(&mut self, response: Response, out: &mut Vec<Output>) {
        self.pace.note(self.now, response.size());
        self.heard = self.now;
        self.back(out);
        let mut batch = Batch::from(response);
        let Some(kind) = Kind::of(&batch.type_url) else {
            return out.push(Output::Log(SessionNotice::UnknownType { type_url: batch.type_url }));
        };
        if !self.channel(kind).take_nonce(&batch.nonce) {
            return out.push(Output::Log(SessionNotice::StaleNonce { kind, nonce: batch.nonce }));
        }
        self.timers.clear(&Timer::Refuse(kind));
        for error in std::mem::take(&mut batch.errors) {
            let name = error.resource_name.unwrap_or_default().name;
            let why = error.error_detail.unwrap_or_default().message;
            out.push(Output::Log(SessionNotice::NotGiven { kind, name, why }));
        }
        let (mut good, mut bad) = batch.read(kind);
        self.limit_endpoints(kind, &mut good, &mut bad);
        if kind == Kind::Cluster {
            good.retain(|told| self.wants(&told.name));
            self.limit(&mut good, &mut bad);
        }
        let is_whole = self.config.variant == Variant::StateOfTheWorld;
        if is_whole && !bad.is_empty() {
            return self.refuse(kind, batch.version, bad, out);
        }
        self.accept(kind, &batch, good, out);
        if !bad.is_empty() {
            self.refuse(kind, batch.version, bad, out);
        } else {
            let answer = self.channel(kind).ack();
            out.push(send(answer));
        }
        self.subscribe(out);
        let again = std::mem::take(&mut self.again);
        let requests = self.assignments.again(&again);
        out.extend(requests.into_iter().map(send));
    }

    /// Whether a cluster is asked for.
    fn wants(&self, name: &str) -> bool {
        let wanted = &self.config.clusters;
        wanted.is_empty() || wanted.contains(&ClusterName::from(name))
    }

    /// Turns away clusters beyond the limit. Danger: a control plane can send more names than memory holds.
    fn limit(&self, good: &mut Vec<Told>, bad: &mut Vec<BadResource>) {
        let most = self.config.max_clusters;
        let mut count = match self.config.variant {
            Variant::StateOfTheWorld => 0,
            Variant::Incremental => self.world.len(),
        };
        good.retain(|told| {
            let is_kept = self.config.variant == Variant::Incremental && self.world.has(&told.name);
            count += usize::from(!is_kept);
            if is_kept || count <= most {
                return true;
            }
            bad.push(BadResource::one(Kind::Cluster, &told.name, "", Problem::TooMany(most)));
            false
        });
    }

    /// Turns away lists beyond the limit.
    fn limit_endpoints(&self, kind: Kind, good: &mut Vec<Told>, bad: &mut Vec<BadResource>) {
        let most = self.config.max_endpoints;
        good.retain(|told| {
            let (field, count) = match &told.what {
                What::Assignment(list) => ("endpoints", list.endpoints.len()),
                What::Cluster(ClusterResource { origin: Origin::Static(list), .. }) => {
                    ("load_assignment.endpoints", list.len())
                }
                What::Cluster(_) | What::Heartbeat => return true,
            };
            if count > most {
                let problem = Invalid::TooManyEndpoints { most }.into();
                bad.push(BadResource::one(kind, &told.name, field, problem));
            }
            count <= most
        });
    }

    fn refuse(&mut self, kind: Kind, version: String, bad: Vec<BadResource>, out: &mut Vec<Output>) {
        let channel = self.channel(kind);
        let message = Reasons(&bad).to_string();
        match channel.refuse(message) {
            Some(answer) => out.push(send(answer)),
            None => {
                let failures = channel.refusals.saturating_sub(2);
                let at = self.now.saturating_add(self.backoff.wait(failures));
                self.timers.set(Timer::Refuse(kind), at);
            }
        }
        let rest_holds = self.config.variant == Variant::Incremental;
        out.push(Output::Log(SessionNotice::Rejected { kind, version, resources: bad, rest_holds }));
    }

    /// Takes in what is good of a response.
    fn accept(&mut self, kind: Kind, batch: &Batch, good: Vec<Told>, out: &mut Vec<Output>) {
        let mut tell = Telling::default();
        let version = Version::new(&*batch.version);
        for name in &batch.removed {
            self.channel(kind).forget(name);
            self.leases.end(kind, name, &mut self.timers);
            match kind {
                Kind::Cluster => self.world.remove(&name.as_str().into(), &mut tell),
                Kind::Assignment => self.world.withdraw(self.now, name, &version, &mut tell),
            }
        }
        if self.config.variant == Variant::StateOfTheWorld {
            batch.version.clone_into(&mut self.channel(kind).version);
            if kind == Kind::Cluster {
                self.miss(&good, &mut tell, out);
            }
        } else if kind == Kind::Cluster {
            batch.version.clone_into(&mut self.clusters.version);
        }
        if kind == Kind::Cluster {
            self.has_clusters = true;
            self.timers.clear(&Timer::FirstFetch);
        }
        for told in good {
            self.take(kind, told, &mut tell, out);
        }
        self.again.append(&mut tell.again);
        self.tell(tell, out);
    }

    /// Removes the clusters that a state of the world lacks, unless it lacks all. Heartbeats alone are no
    /// state.
    fn miss(&mut self, good: &[Told], tell: &mut Telling, out: &mut Vec<Output>) {
        if !good.is_empty() && good.iter().all(|told| matches!(told.what, What::Heartbeat)) {
            return;
        }
        let was_none_left = self.is_none_left;
        self.is_none_left = good.is_empty() && self.world.len() > 0;
        if self.is_none_left {
            return out.push(Output::Log(SessionNotice::NoneLeft { kept: self.world.len() }));
        }
        let named: BTreeSet<&str> = good.iter().map(|told| told.name.as_str()).collect();
        let missing: Vec<ClusterName> =
            self.world.names().filter(|name| !named.contains(name.as_str())).cloned().collect();
        for name in missing {
            self.leases.end(Kind::Cluster, name.as_str(), &mut self.timers);
            self.world.remove(&name, tell);
        }
        if was_none_left {
            self.world.stand(&Version::new(self.clusters.version.as_str()), tell);
        }
    }

    fn take(&mut self, kind: Kind, told: Told, tell: &mut Telling, out: &mut Vec<Output>) {
        let Told { name, version, ttl, what } = told;
        let is_asked_for = match &what {
            What::Heartbeat => {
                return self.leases.renew(kind, &name, ttl, self.now, &mut self.timers);
            }
            What::Cluster(_) => true,
            What::Assignment(_) => self.world.has_service(&name),
        };
        if is_asked_for {
            self.leases.renew(kind, &name, ttl, self.now, &mut self.timers);
            if self.config.variant == Variant::Incremental {
                self.channel(kind).versions.insert(name.clone(), version.clone());
            }
        }
        let version = Version::new(version);
        let ignored = match what {
            What::Heartbeat => return,
            What::Cluster(mut cluster) => {
                let ignored = std::mem::take(&mut cluster.ignored);
                self.world.take(self.now, &version, cluster, tell);
                ignored
            }
            What::Assignment(list) => {
                self.world.assign(list.name, &version, list.endpoints, tell);
                list.ignored
            }
        };
        for field in ignored.into_iter().filter(|field| self.ignored.insert((kind, field))) {
            out.push(Output::Log(SessionNotice::Ignored { kind, name: name.clone(), field }));
        }
    }
}
