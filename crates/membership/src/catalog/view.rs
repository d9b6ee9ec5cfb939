//! The operators' view of the catalog: plain values, printed as lines or serialized by the admin server.

use super::cluster::ClusterState;
use super::source::{Rank, Source};
use super::subscription::Subscription;
use crate::endpoint::{ClusterSettings, State};
use crate::event::Silence;
use crate::names::{ClusterName, SourceId, Version};
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use serde::Serialize;
use std::fmt;

/// The state of one cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterView {
    /// Its name.
    pub cluster: ClusterName,
    /// The source that provides it; `None` if no source has an accepted update of it.
    pub source: Option<SourceId>,
    /// Whether its source has been silent for longer than the policy allows.
    #[serde(rename = "aged")]
    pub is_stale: bool,
    /// The time since its published state last changed, in milliseconds.
    pub changed_ms_ago: Option<u64>,
    /// The number of endpoints that accept new requests.
    pub ready: usize,
    /// The number of ready endpoints with a weight of 0.
    pub weightless: usize,
    /// The number of draining endpoints.
    pub draining: usize,
    /// The number of endpoints that a source reports as unhealthy.
    pub unhealthy: usize,
    /// The limits that its source sets for it.
    pub settings: ClusterSettings,
    /// The state of each source's reports of it, in order of precedence.
    #[serde(rename = "feeds")]
    pub subscriptions: Vec<SubscriptionView>,
}

/// The state of one source's reports of one cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SubscriptionView {
    /// The source.
    pub source: SourceId,
    /// The version that was last accepted.
    pub version: Option<Version>,
    /// The number of accepted endpoints: `None` if no update was accepted, 0 if the cluster is intentionally
    /// empty.
    pub endpoints: Option<usize>,
    /// The time since the source's last update of this cluster, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub last_update_ms_ago: u64,
    /// The kind and duration, in milliseconds, of the source's silence, if it is silent.
    pub silent: Option<(Silence, u64)>,
    /// The quarantined change, if any.
    #[serde(rename = "held")]
    pub quarantine: Option<QuarantineView>,
    /// The last rejection, if any.
    #[serde(rename = "refusal")]
    pub rejection: Option<RejectionView>,
}

/// A quarantined change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct QuarantineView {
    /// The messages of the anomalies.
    #[serde(rename = "suspicions")]
    pub anomalies: Vec<String>,
    /// Whether only an explicit statement of the source or an operator releases it.
    #[serde(rename = "needs_word")]
    pub needs_explicit_confirmation: bool,
    /// The number of endpoints whose changes are quarantined.
    pub endpoints: usize,
    /// The time since the quarantine began, in milliseconds.
    pub for_ms: u64,
    /// The time until the source is asked again, in milliseconds. Earlier repetition does not confirm the
    /// change.
    #[serde(rename = "asks_in_ms")]
    pub refetch_in_ms: u64,
}

/// A rejected input.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RejectionView {
    /// The time since the rejection, in milliseconds.
    pub ms_ago: u64,
    /// The message, with the source, the item and the cause.
    pub reason: String,
}

/// The state of one source.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourceView {
    /// The source.
    pub source: SourceId,
    /// The kind and duration, in milliseconds, of its silence, if it is silent.
    pub silent: Option<(Silence, u64)>,
    /// The last rejection that does not concern a known cluster, if any.
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
                .map(|silent| (silent.silence, to_ms(now.saturating_sub(silent.since)))),
            rejection: source
                .last_rejection
                .as_ref()
                .map(|last_rejection| RejectionView::of(last_rejection, now)),
        }
    }
}

fn to_ms(nanos: Nanos) -> u64 {
    nanos / 1_000_000
}

impl RejectionView {
    pub(super) fn of((at, last_rejection): &(Nanos, Rejection), now: Nanos) -> RejectionView {
        RejectionView { ms_ago: to_ms(now.saturating_sub(*at)), reason: last_rejection.to_string() }
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
            changed_ms_ago: service.map(|service| to_ms(now.saturating_sub(service.changed_at))),
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
    let ms_ago = |at: Nanos| to_ms(now.saturating_sub(at));
    let quarantine = subscription.refetch_at().map(|refetch_at| {
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
            for_ms: ms_ago(since.unwrap_or(now)),
            refetch_in_ms: to_ms(refetch_at.saturating_sub(now)),
        }
    });
    SubscriptionView {
        source: source.id.clone(),
        version: subscription.accepted.as_ref().map(|accepted| accepted.version.clone()),
        endpoints: subscription.accepted_listing().map(|own| own.counts().listed),
        last_update_ms_ago: ms_ago(subscription.last_update_at),
        silent: source.silent.as_ref().map(|silent| (silent.silence, ms_ago(silent.since))),
        quarantine,
        rejection: subscription
            .last_rejection
            .as_ref()
            .map(|last_rejection| RejectionView::of(last_rejection, now)),
    }
}

/// Formats a duration in a readable unit.
fn format_duration(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{ms} ms"),
        10_000..600_000 => format!("{} s", ms / 1000),
        600_000..36_000_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

impl fmt::Display for ClusterView {
    /// Writes several lines, without a line break at the end.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.cluster)?;
        match (&self.source, self.changed_ms_ago) {
            (Some(source), Some(changed)) => {
                let ClusterView { ready, weightless, draining, unhealthy, .. } = self;
                write!(f, "from {source}, {ready} ready, {draining} draining, {unhealthy} unhealthy")?;
                write!(f, ", {weightless} of weight 0, changed {} ago", format_duration(changed))?;
                f.write_str(if self.is_stale { ", STALE" } else { "" })?;
            }
            _ => f.write_str("not in service")?,
        }
        self.subscriptions.iter().try_for_each(|subscription| write!(f, "\n  {subscription}"))
    }
}

impl fmt::Display for SubscriptionView {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.source)?;
        match (&self.version, self.endpoints) {
            (Some(version), Some(0)) => write!(f, "version {version:?}, intentionally empty")?,
            (Some(version), Some(n)) => write!(f, "version {version:?}, {n} endpoints")?,
            _ => f.write_str("no update accepted")?,
        }
        write!(f, ", last update {} ago", format_duration(self.last_update_ms_ago))?;
        if let Some((silence, for_ms)) = &self.silent {
            write!(f, ", source {silence} for {}", format_duration(*for_ms))?;
        }
        if let Some(quarantine) = &self.quarantine {
            let (reasons, duration) = (quarantine.anomalies.join("; "), format_duration(quarantine.for_ms));
            write!(f, "\n    quarantined for {duration}, {} endpoints: {reasons}; ", quarantine.endpoints)?;
            write!(f, "asking again in {}", format_duration(quarantine.refetch_in_ms))?;
            f.write_str(if quarantine.needs_explicit_confirmation {
                ", needs explicit confirmation"
            } else {
                ""
            })?;
        }
        match &self.rejection {
            Some(last_rejection) => {
                write!(f, "\n    {} ago: {}", format_duration(last_rejection.ms_ago), last_rejection.reason)
            }
            None => Ok(()),
        }
    }
}
