//! The four rules, watched at every proxy and server, each breach with the events that led to it.
//!
//! What a rule forbids is told from what the proxy was told and did, never from what its policy believes.

use crate::run::result::Breach;
use olivecart_decisions::{EndpointState, Nanos, Outcome};
use std::collections::VecDeque;
use std::fmt;

/// Events that are remembered by each proxy.
const REMEMBERED: usize = 400;
/// Events that a breach is reported with, at most.
const TOLD: usize = 40;

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time, and nothing after it.
    Answer,
    /// No second effect, and no two attempts at once.
    Effect,
    /// Nothing new to a draining or gone server after the grace.
    Drain,
    /// No cold server pushed over.
    Cold,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 4] = [Rule::Answer, Rule::Effect, Rule::Drain, Rule::Cold];

    /// As results call it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Effect => "effect",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
        }
    }
}

/// Something that a proxy saw or did.
#[derive(Clone, Copy, Debug)]
pub enum Note {
    /// It took a request.
    Took(u64),
    /// It started an attempt of a request at a server.
    Sent(u64, u32, u32),
    /// An attempt ended.
    Ended(u64, u32, u32, Outcome),
    /// An attempt was called off.
    Cancelled(u64, u32),
    /// A request was refused.
    Refused(u64),
    /// A request was answered as failed.
    Failed(u64),
    /// A request was served.
    Served(u64),
    /// A request's client went away.
    Left(u64),
    /// A request's deadline passed.
    Expired(u64),
    /// The list told of a server, which started then.
    Told(u32, EndpointState, Nanos),
}

impl Note {
    fn concerns(&self, request: Option<u64>, server: Option<u32>) -> bool {
        let (r, s) = match *self {
            Note::Took(r) | Note::Refused(r) | Note::Failed(r) | Note::Served(r) => (Some(r), None),
            Note::Left(r) | Note::Expired(r) | Note::Cancelled(r, _) => (Some(r), None),
            Note::Sent(r, _, s) | Note::Ended(r, _, s, _) => (Some(r), Some(s)),
            Note::Told(s, ..) => (None, Some(s)),
        };
        request.is_some() && r == request || server.is_some() && s == server
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::Took(r) => write!(f, "took request {r}"),
            Note::Sent(r, n, s) => write!(f, "sent attempt {n} of request {r} to server {s}"),
            Note::Ended(r, n, s, o) => write!(f, "attempt {n} of request {r} at server {s} ended: {o:?}"),
            Note::Cancelled(r, n) => write!(f, "called off attempt {n} of request {r}"),
            Note::Refused(r) => write!(f, "refused request {r}"),
            Note::Failed(r) => write!(f, "answered request {r} as failed"),
            Note::Served(r) => write!(f, "passed on the answer to request {r}"),
            Note::Left(r) => write!(f, "the client of request {r} went away"),
            Note::Expired(r) => write!(f, "the deadline of request {r} passed"),
            Note::Told(s, state, 0) => write!(f, "was told that server {s} is {state:?}"),
            Note::Told(s, state, at) => {
                write!(f, "was told that server {s} is {state:?}, started at {:.3} ms", *at as f64 / 1e6)
            }
        }
    }
}

/// What one proxy remembers, and the breaches found at it.
#[derive(Default)]
pub struct Monitor {
    notes: VecDeque<(Nanos, Note)>,
    breaches: Vec<(Rule, Breach)>,
}

impl Monitor {
    /// Remembers something.
    pub fn note(&mut self, at: Nanos, note: Note) {
        if self.notes.len() == REMEMBERED {
            self.notes.pop_front();
        }
        self.notes.push_back((at, note));
    }

    /// A rule was broken, with a request, at a server. The first breach of each rule is told whole.
    pub fn breach(
        &mut self,
        rule: Rule,
        at: Nanos,
        proxy: &str,
        (request, server): (Option<u64>, Option<u32>),
        what: String,
    ) {
        if let Some((_, breach)) = self.breaches.iter_mut().find(|(r, _)| *r == rule) {
            breach.count += 1;
            return;
        }
        let told = self.notes.iter().filter(|(_, note)| note.concerns(request, server));
        let line = |(at, note): &(Nanos, Note)| format!("{:.3} ms: {note}", *at as f64 / 1e6);
        let mut events: Vec<String> = told.map(line).collect();
        events.drain(..events.len().saturating_sub(TOLD));
        let (rule_name, at_ms, proxy) = (rule.name().to_owned(), at as f64 / 1e6, proxy.to_owned());
        self.breaches.push((rule, Breach { rule: rule_name, count: 1, at_ms, proxy, what, events }));
    }

    /// What was found.
    pub fn into_breaches(self) -> Vec<(Rule, Breach)> {
        self.breaches
    }
}

/// The first breach of each rule among all that were found, with the count of all.
pub fn first_of_each(mut all: Vec<(Rule, Breach)>) -> Vec<Breach> {
    all.sort_by(|(a, x), (b, y)| {
        a.cmp(b).then(x.at_ms.total_cmp(&y.at_ms)).then_with(|| x.proxy.cmp(&y.proxy))
    });
    let mut first: Vec<(Rule, Breach)> = Vec::new();
    for (rule, breach) in all {
        match first.last_mut().filter(|(r, _)| *r == rule) {
            Some((_, earlier)) => earlier.count += breach.count,
            None => first.push((rule, breach)),
        }
    }
    first.into_iter().map(|(_, breach)| breach).collect()
}
