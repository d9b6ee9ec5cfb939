//! A journal of the requests and responses on a control plane's streams.

use super::resources::Kind;
use super::session::{Heard, Said};
use envoy_types::pb::google::rpc::Status;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// The requests and responses on a control plane's streams, one line each:
///
/// ```text
/// 1 opened
/// 1 < CDS version="" nonce="" names=[]
/// 1 > CDS version="2" nonce="1" resources=1
/// 1 < CDS version="2" nonce="1" names=[]
/// 1 < EDS version="" nonce="" names=[cart]
/// 2 < EDS nonce="" subscribe=[cart] unsubscribe=[] initial={cart=1}
/// 2 < CDS nonce="3" subscribe=[] unsubscribe=[] initial={} error="Cluster \"x\": ..."
/// 1 closed
/// ```
#[derive(Clone, Debug)]
pub struct Journal {
    lines: Arc<Mutex<Vec<String>>>,
    count: watch::Sender<usize>,
}

impl Default for Journal {
    fn default() -> Journal {
        Journal { lines: Arc::default(), count: watch::Sender::new(0) }
    }
}

impl Journal {
    /// Returns all lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits for a line that contains all of `parts`, and returns its number and text. Lines are numbered
    /// from 0; those before `from` are ignored. Waits without limit; the caller sets a timeout.
    pub async fn wait_for(&self, from: usize, parts: &[&str]) -> (usize, String) {
        let mut count = self.count.subscribe();
        loop {
            count.borrow_and_update();
            let holds = |line: &String| parts.iter().all(|part| line.contains(part));
            let found = self.lines().into_iter().enumerate().skip(from).find(|(_, line)| holds(line));
            if let Some(found) = found {
                return found;
            }
            if count.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    pub(super) fn note(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
        let count = lines.len();
        drop(lines);
        self.count.send_replace(count);
    }

    pub(super) fn heard(&self, stream: u64, request: &Heard) {
        self.note(format!("{stream} < {}", heard(request)));
    }

    pub(super) fn said(&self, stream: u64, response: &Said) {
        self.note(format!("{stream} > {}", said(response)));
    }
}

fn kind(type_url: &str) -> String {
    Kind::of(type_url).map_or_else(|| format!("{type_url:?}"), |kind| kind.to_string())
}

fn error(status: Option<&Status>) -> String {
    status.map(|status| format!(" error={:?}", status.message)).unwrap_or_default()
}

fn heard(request: &Heard) -> String {
    match request {
        Heard::World(r) => {
            let (kind, names, error) =
                (kind(&r.type_url), r.resource_names.join(" "), error(r.error_detail.as_ref()));
            let (version, nonce) = (&r.version_info, &r.response_nonce);
            format!("{kind} version={version:?} nonce={nonce:?} names=[{names}]{error}")
        }
        Heard::Delta(r) => {
            let initial: BTreeMap<_, _> = r.initial_resource_versions.iter().collect();
            let initial: Vec<_> =
                initial.into_iter().map(|(name, version)| format!("{name}={version}")).collect();
            let (kind, nonce, error) = (kind(&r.type_url), &r.response_nonce, error(r.error_detail.as_ref()));
            let (on, off) = (r.resource_names_subscribe.join(" "), r.resource_names_unsubscribe.join(" "));
            let initial = initial.join(" ");
            format!(
                "{kind} nonce={nonce:?} subscribe=[{on}] unsubscribe=[{off}] initial={{{initial}}}{error}"
            )
        }
    }
}

fn said(response: &Said) -> String {
    match response {
        Said::World(r) => {
            let (kind, version, nonce) = (kind(&r.type_url), &r.version_info, &r.nonce);
            format!("{kind} version={version:?} nonce={nonce:?} resources={}", r.resources.len())
        }
        Said::Delta(r) => {
            let (kind, version, nonce) = (kind(&r.type_url), &r.system_version_info, &r.nonce);
            let (resources, removed) = (r.resources.len(), r.removed_resources.join(" "));
            format!("{kind} version={version:?} nonce={nonce:?} resources={resources} removed=[{removed}]")
        }
    }
}
