//! What operators see of the catalog: plain values, printed as lines or serialized for an admin socket.

use super::cluster::ClusterState;
use super::subscription::Subscription;
use super::update::{Rank, Source};
use crate::endpoint::{ClusterSettings, State};
use crate::event::Silence;
use crate::names::{ClusterName, SourceId, Version};
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use serde::Serialize;
use std::fmt;

/// One cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterView {
    /// Its name.
    pub cluster: ClusterName,
    /// Which source gives it; none if no source has said anything of it that could serve.
    pub source: Option<SourceId>,
    /// Its source has been silent for longer than the policy allows.
    #[serde(rename = "aged")]
    pub is_stale: bool,
    /// When what serves last changed, in milliseconds ago.
    pub changed_ms_ago: Option<u64>,
    /// Endpoints that take new requests.
    pub ready: usize,
    /// Endpoints that are ready, with a weight of 0.
    pub weightless: usize,
    /// Endpoints that finish what they have.
    pub draining: usize,
    /// Endpoints that fail, as a source says.
    pub unhealthy: usize,
    /// Limits that come with it.
    pub settings: ClusterSettings,
    /// What each source says of it, in the order of precedence.
    #[serde(rename = "feeds")]
    pub subscriptions: Vec<SubscriptionView>,
}

/// What one source says of one cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubscriptionView {
    /// The source.
    pub source: SourceId,
    /// The version accepted last.
    pub version: Option<Version>,
    /// How many endpoints were accepted; none if nothing has been, 0 if it is empty on purpose.
    pub endpoints: Option<usize>,
    /// The age of it: when the source last spoke of this cluster, in milliseconds ago.
    #[serde(rename = "heard_ms_ago")]
    pub last_update_ms_ago: u64,
    /// The source is silent, and for how many milliseconds.
    pub silent: Option<(Silence, u64)>,
    /// What is quarantined.
    #[serde(rename = "held")]
    pub quarantine: Option<QuarantineView>,
    /// What was rejected last.
    #[serde(rename = "refusal")]
    pub rejection: Option<RejectionView>,
}

/// What is quarantined.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuarantineView {
    /// What is suspicious.
    #[serde(rename = "suspicions")]
    pub anomalies: Vec<String>,
    /// Only an explicit word lets it pass.
    #[serde(rename = "needs_word")]
    pub needs_explicit_confirmation: bool,
    /// How many endpoints' changes are held.
    pub endpoints: usize,
    /// For how many milliseconds.
    pub for_ms: u64,
    /// In how many milliseconds the source is asked again; before, no repetition confirms.
    #[serde(rename = "asks_in_ms")]
    pub refetch_in_ms: u64,
}

/// What was rejected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RejectionView {
    /// When, in milliseconds ago.
    pub ms_ago: u64,
    /// What and why.
    pub reason: String,
}

/// One source.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourceView {
    /// The source.
    pub source: SourceId,
    /// It is silent, and for how many milliseconds.
    pub silent: Option<(Silence, u64)>,
    /// What was rejected last of it that was about no cluster that is known.
    #[serde(rename = "refusal")]
    pub rejection: Option<RejectionView>,
}

impl SourceView {
    pub(super) fn of(source: &Source, now: Nanos) -> SourceView {
        SourceView {
            source: source.id.clone(),
            silent: source
                .silent
                .as_ref()
                .map(|silent| (silent.silence, ms(now.saturating_sub(silent.since)))),
            rejection: source
                .last_rejection
                .as_ref()
                .map(|last_rejection| RejectionView::of(last_rejection, now)),
        }
    }
}

fn ms(nanos: Nanos) -> u64 {
    nanos / 1_000_000
}

impl RejectionView {
    pub(super) fn of((at, last_rejection): &(Nanos, Rejection), now: Nanos) -> RejectionView {
        RejectionView { ms_ago: ms(now.saturating_sub(*at)), reason: last_rejection.to_string() }
    }
}

impl ClusterView {
    pub(super) fn of(state: &ClusterState, sources: &[Source], now: Nanos) -> ClusterView {
        let service = state.service.as_ref();
        let subscription = |(rank, subscription): (&Rank, &Subscription)| {
            subscription_view(&sources[*rank], subscription, now)
        };
        let mut view = ClusterView {
            cluster: state.name.clone(),
            source: service.map(|service| sources[service.owner].id.clone()),
            is_stale: service.is_some_and(|service| service.is_stale),
            changed_ms_ago: service.map(|service| ms(now.saturating_sub(service.changed))),
            ready: 0,
            weightless: 0,
            draining: 0,
            unhealthy: 0,
            settings: service.map(|service| service.settings).unwrap_or_default(),
            subscriptions: state.subscriptions.iter().map(subscription).collect(),
        };
        for endpoint in service.into_iter().flat_map(|service| service.endpoints.values()) {
            *match endpoint.state {
                State::Ready if endpoint.takes_requests() => &mut view.ready,
                State::Ready => &mut view.weightless,
                State::Draining => &mut view.draining,
                State::Unhealthy => &mut view.unhealthy,
            } += 1;
        }
        view
    }
}

fn subscription_view(source: &Source, subscription: &Subscription, now: Nanos) -> SubscriptionView {
    let ago = |at: Nanos| ms(now.saturating_sub(at));
    let held = subscription.refetch_at().map(|refetch_at| {
        let (quarantine, missing) = (subscription.quarantine.as_ref(), subscription.missing.as_ref());
        let anomalies = quarantine.into_iter().flat_map(|quarantine| &quarantine.anomalies);
        let anomalies: Vec<_> = anomalies.chain(missing.map(|missing| &missing.anomaly)).collect();
        let since = quarantine
            .map(|quarantine| quarantine.since)
            .into_iter()
            .chain(missing.map(|missing| missing.since))
            .min();
        QuarantineView {
            needs_explicit_confirmation: anomalies
                .iter()
                .any(|anomaly| anomaly.needs_explicit_confirmation()),
            anomalies: anomalies.iter().map(|anomaly| anomaly.to_string()).collect(),
            endpoints: quarantine.map_or(0, |quarantine| quarantine.changes.len()),
            for_ms: ago(since.unwrap_or(now)),
            refetch_in_ms: ms(refetch_at.saturating_sub(now)),
        }
    });
    SubscriptionView {
        source: source.id.clone(),
        version: subscription.accepted.as_ref().map(|accepted| accepted.version.clone()),
        endpoints: subscription.accepted_listing().map(|own| own.counts().listed),
        last_update_ms_ago: ago(subscription.last_update_at),
        silent: source.silent.as_ref().map(|silent| (silent.silence, ago(silent.since))),
        quarantine: held,
        rejection: subscription
            .last_rejection
            .as_ref()
            .map(|last_rejection| RejectionView::of(last_rejection, now)),
    }
}

/// A length of time in the unit that a person would choose.
fn span(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{ms} ms"),
        10_000..600_000 => format!("{} s", ms / 1000),
        600_000..36_000_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

impl fmt::Display for ClusterView {
    /// Several lines, without a line break at the end.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.cluster)?;
        match (&self.source, self.changed_ms_ago) {
            (Some(source), Some(changed)) => {
                let ClusterView { ready, weightless, draining, unhealthy, .. } = self;
                write!(f, "from {source}, {ready} ready, {draining} draining, {unhealthy} unhealthy")?;
                write!(f, ", {weightless} of weight 0, changed {} ago", span(changed))?;
                f.write_str(if self.is_stale { ", AGED" } else { "" })?;
            }
            _ => f.write_str("nothing serves")?,
        }
        self.subscriptions.iter().try_for_each(|subscription| write!(f, "\n  {subscription}"))
    }
}

impl fmt::Display for SubscriptionView {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.source)?;
        match (&self.version, self.endpoints) {
            (Some(version), Some(0)) => write!(f, "version {version:?}, empty on purpose")?,
            (Some(version), Some(n)) => write!(f, "version {version:?}, {n} endpoints")?,
            _ => f.write_str("nothing accepted")?,
        }
        write!(f, ", heard {} ago", span(self.last_update_ms_ago))?;
        if let Some((silence, for_ms)) = &self.silent {
            write!(f, ", source {silence} for {}", span(*for_ms))?;
        }
        if let Some(held) = &self.quarantine {
            let (reasons, for_ms) = (held.anomalies.join("; "), span(held.for_ms));
            write!(f, "\n    held for {for_ms}, {} endpoints: {reasons}; ", held.endpoints)?;
            write!(f, "asked again in {}", span(held.refetch_in_ms))?;
            f.write_str(if held.needs_explicit_confirmation { ", needs an explicit word" } else { "" })?;
        }
        match &self.rejection {
            Some(last_rejection) => {
                write!(f, "\n    {} ago: {}", span(last_rejection.ms_ago), last_rejection.reason)
            }
            None => Ok(()),
        }
    }
}
