//! Handling of responses.

use super::cluster_store::PendingUpdates;
use super::config::Variant;
use super::event::Output;
use super::message::{ReceivedResource, ResourceContent, Response, ResponseBatch};
use super::notice::RejectionReasons;
use super::notice::SessionNotice;
use super::state_machine::{Session, send};
use super::timers::Timer;
use crate::invalid::Invalid;
use crate::names::{ClusterName, Version};
use crate::xds::resource::{ClusterResource, InvalidResource, Kind, Origin, Problem};
use std::collections::BTreeSet;

impl Session {
    pub(super) fn on_response(&mut self, response: Response, out: &mut Vec<Output>) {
        self.read_pacer.record_read(self.now, response.resource_bytes());
        self.last_response_at = self.now;
        self.report_reconnected(out);
        let mut batch = ResponseBatch::from(response);
        let Some(kind) = Kind::from_type_url(&batch.type_url) else {
            return out.push(Output::Log(SessionNotice::UnknownType { type_url: batch.type_url }));
        };
        if !self.subscription(kind).accept_nonce(&batch.nonce) {
            return out.push(Output::Log(SessionNotice::StaleNonce { kind, nonce: batch.nonce }));
        }
        self.timers.clear(&Timer::Reject(kind));
        for error in std::mem::take(&mut batch.errors) {
            let name = error.resource_name.unwrap_or_default().name;
            let reason = error.error_detail.unwrap_or_default().message;
            out.push(Output::Log(SessionNotice::ResourceError { kind, name, reason }));
        }
        let (mut valid, mut invalid) = batch.take_resources(kind);
        self.limit_endpoints(kind, &mut valid, &mut invalid);
        if kind == Kind::Cluster {
            valid.retain(|resource| self.is_subscribed(&resource.name));
            self.limit_clusters(&mut valid, &mut invalid);
        }
        let is_sotw = self.config.variant == Variant::StateOfTheWorld;
        if is_sotw && !invalid.is_empty() {
            return self.reject(kind, batch.version, invalid, out);
        }
        self.accept(kind, &batch, valid, out);
        if !invalid.is_empty() {
            self.reject(kind, batch.version, invalid, out);
        } else {
            let request = self.subscription(kind).ack();
            out.push(send(request));
        }
        self.subscribe(out);
        let resubscribe = std::mem::take(&mut self.resubscribe);
        let requests = self.assignments.resubscribe(&resubscribe);
        out.extend(requests.into_iter().map(send));
    }

    /// Returns whether a cluster is subscribed to.
    fn is_subscribed(&self, name: &str) -> bool {
        let configured = &self.config.clusters;
        configured.is_empty() || configured.contains(&ClusterName::from(name))
    }

    /// Rejects clusters beyond the limit. Without it, a control plane could exhaust the memory.
    fn limit_clusters(&self, valid: &mut Vec<ReceivedResource>, invalid: &mut Vec<InvalidResource>) {
        let max = self.config.max_clusters;
        let mut count = match self.config.variant {
            Variant::StateOfTheWorld => 0,
            Variant::Incremental => self.store.len(),
        };
        valid.retain(|resource| {
            let is_kept = self.config.variant == Variant::Incremental && self.store.contains(&resource.name);
            count += usize::from(!is_kept);
            if is_kept || count <= max {
                return true;
            }
            invalid.push(InvalidResource::single(Kind::Cluster, &resource.name, "", Problem::TooMany(max)));
            false
        });
    }

    /// Rejects resources with more endpoints than the limit.
    fn limit_endpoints(
        &self,
        kind: Kind,
        valid: &mut Vec<ReceivedResource>,
        invalid: &mut Vec<InvalidResource>,
    ) {
        let max = self.config.max_endpoints;
        valid.retain(|resource| {
            let (field, count) = match &resource.content {
                ResourceContent::Assignment(list) => ("endpoints", list.endpoints.len()),
                ResourceContent::Cluster(ClusterResource { origin: Origin::Static(list), .. }) => {
                    ("load_assignment.endpoints", list.len())
                }
                ResourceContent::Cluster(_) | ResourceContent::Heartbeat => return true,
            };
            if count > max {
                let problem = Invalid::TooManyEndpoints { most: max }.into();
                invalid.push(InvalidResource::single(kind, &resource.name, field, problem));
            }
            count <= max
        });
    }

    fn reject(&mut self, kind: Kind, version: String, invalid: Vec<InvalidResource>, out: &mut Vec<Output>) {
        let subscription = self.subscription(kind);
        let message = RejectionReasons(&invalid).to_string();
        match subscription.reject(message) {
            Some(request) => out.push(send(request)),
            None => {
                let failures = subscription.consecutive_rejections.saturating_sub(2);
                let at = self.now.saturating_add(self.backoff.next_wait(failures));
                self.timers.set(Timer::Reject(kind), at);
            }
        }
        let rest_is_applied = self.config.variant == Variant::Incremental;
        out.push(Output::Log(SessionNotice::Rejected { kind, version, resources: invalid, rest_is_applied }));
    }

    /// Applies the valid resources of a response.
    fn accept(
        &mut self,
        kind: Kind,
        batch: &ResponseBatch,
        valid: Vec<ReceivedResource>,
        out: &mut Vec<Output>,
    ) {
        let mut pending = PendingUpdates::default();
        let version = Version::new(&*batch.version);
        for name in &batch.removed {
            self.subscription(kind).forget(name);
            self.leases.cancel(kind, name, &mut self.timers);
            match kind {
                Kind::Cluster => self.store.remove(&name.as_str().into(), &mut pending),
                Kind::Assignment => self.store.withdraw_endpoints(self.now, name, &version, &mut pending),
            }
        }
        if self.config.variant == Variant::StateOfTheWorld {
            batch.version.clone_into(&mut self.subscription(kind).version);
            if kind == Kind::Cluster {
                self.remove_missing(&valid, &mut pending, out);
            }
        } else if kind == Kind::Cluster {
            batch.version.clone_into(&mut self.clusters.version);
        }
        if kind == Kind::Cluster {
            self.has_clusters = true;
            self.timers.clear(&Timer::FirstFetch);
        }
        for resource in valid {
            self.apply_resource(kind, resource, &mut pending, out);
        }
        self.resubscribe.append(&mut pending.resubscribe);
        self.publish(pending, out);
    }

    /// Removes the clusters that are missing in the state of the world, unless all are missing. A response of
    /// heartbeats only is not a state of the world.
    fn remove_missing(
        &mut self,
        valid: &[ReceivedResource],
        pending: &mut PendingUpdates,
        out: &mut Vec<Output>,
    ) {
        if !valid.is_empty()
            && valid.iter().all(|resource| matches!(resource.content, ResourceContent::Heartbeat))
        {
            return;
        }
        let listed_no_clusters = self.lists_no_clusters;
        self.lists_no_clusters = valid.is_empty() && self.store.len() > 0;
        if self.lists_no_clusters {
            return out.push(Output::Log(SessionNotice::NoClustersListed { kept: self.store.len() }));
        }
        let named: BTreeSet<&str> = valid.iter().map(|resource| resource.name.as_str()).collect();
        let missing: Vec<ClusterName> =
            self.store.names().filter(|name| !named.contains(name.as_str())).cloned().collect();
        for name in missing {
            self.leases.cancel(Kind::Cluster, name.as_str(), &mut self.timers);
            self.store.remove(&name, pending);
        }
        if listed_no_clusters {
            self.store.confirm_all(&Version::new(self.clusters.version.as_str()), pending);
        }
    }

    fn apply_resource(
        &mut self,
        kind: Kind,
        resource: ReceivedResource,
        pending: &mut PendingUpdates,
        out: &mut Vec<Output>,
    ) {
        let ReceivedResource { name, version, ttl, content } = resource;
        let is_used = match &content {
            ResourceContent::Heartbeat => {
                return self.leases.renew(kind, &name, ttl, self.now, &mut self.timers);
            }
            ResourceContent::Cluster(_) => true,
            ResourceContent::Assignment(_) => self.store.is_service_used(&name),
        };
        if is_used {
            self.leases.renew(kind, &name, ttl, self.now, &mut self.timers);
            if self.config.variant == Variant::Incremental {
                self.subscription(kind).versions.insert(name.clone(), version.clone());
            }
        }
        let version = Version::new(version);
        let ignored = match content {
            ResourceContent::Heartbeat => return,
            ResourceContent::Cluster(mut cluster) => {
                let ignored = std::mem::take(&mut cluster.ignored);
                self.store.apply_cluster(self.now, &version, cluster, pending);
                ignored
            }
            ResourceContent::Assignment(list) => {
                self.store.apply_assignment(list.name, &version, list.endpoints, pending);
                list.ignored
            }
        };
        for field in ignored.into_iter().filter(|field| self.ignored.insert((kind, field))) {
            out.push(Output::Log(SessionNotice::IgnoredField { kind, name: name.clone(), field }));
        }
    }
}
