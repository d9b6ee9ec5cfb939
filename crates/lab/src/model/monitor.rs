//! The four rules, checked at every proxy and server, and each breach with the events that led to it.
//!
//! Whether a rule is broken follows from what the proxy was told and did, never from what its policy believes.

use crate::run_result::Breach;
use olivecart_decisions::{EndpointState, Nanos, Outcome};
use std::collections::VecDeque;
use std::fmt;

/// How many events each proxy remembers.
const MAX_TRACE_EVENTS: usize = 400;
/// How many events a breach is reported with.
const MAX_REPORTED_EVENTS: usize = 40;

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final response in time, and nothing after it.
    Answer,
    /// No second effect, and no concurrent attempts.
    Effect,
    /// Nothing new to a draining or removed server after the grace period.
    Drain,
    /// No cold server overloaded.
    Cold,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 4] = [Rule::Answer, Rule::Effect, Rule::Drain, Rule::Cold];

    /// Its name in results.
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
pub enum TraceEvent {
    /// It accepted a request.
    Accepted(u64),
    /// It started an attempt of a request at a server.
    Sent(u64, u32, u32),
    /// An attempt of a request at a server ended.
    Ended(u64, u32, u32, Outcome),
    /// An attempt of a request was cancelled.
    Cancelled(u64, u32),
    /// A request was refused.
    Refused(u64),
    /// A request was answered as failed.
    Failed(u64),
    /// A request was served.
    Served(u64),
    /// A request's client went away.
    Aborted(u64),
    /// A request's deadline passed.
    Expired(u64),
    /// The list told of a server, with its state and start time.
    Listed(u32, EndpointState, Nanos),
}

/// The request and the server that a breach is about.
#[derive(Clone, Copy, Debug)]
pub struct Subject {
    /// The request's number at the proxy.
    pub request: Option<u64>,
    /// The server.
    pub server: Option<u32>,
}

impl Subject {
    /// A request alone.
    pub fn request(number: u64) -> Subject {
        Subject { request: Some(number), server: None }
    }
}

impl TraceEvent {
    fn concerns(&self, subject: Subject) -> bool {
        let own = self.subject();
        let is_same_request = own.request.is_some() && own.request == subject.request;
        let is_same_server = own.server.is_some() && own.server == subject.server;
        is_same_request || is_same_server
    }

    fn subject(&self) -> Subject {
        match *self {
            TraceEvent::Accepted(request)
            | TraceEvent::Refused(request)
            | TraceEvent::Failed(request)
            | TraceEvent::Served(request)
            | TraceEvent::Aborted(request)
            | TraceEvent::Expired(request)
            | TraceEvent::Cancelled(request, _) => Subject::request(request),
            TraceEvent::Sent(request, _, server) | TraceEvent::Ended(request, _, server, _) => {
                Subject { request: Some(request), server: Some(server) }
            }
            TraceEvent::Listed(server, ..) => Subject { request: None, server: Some(server) },
        }
    }
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TraceEvent::Accepted(request) => write!(f, "took request {request}"),
            TraceEvent::Sent(request, attempt, server) => {
                write!(f, "sent attempt {attempt} of request {request} to server {server}")
            }
            TraceEvent::Ended(request, attempt, server, outcome) => {
                write!(f, "attempt {attempt} of request {request} at server {server} ended: {outcome:?}")
            }
            TraceEvent::Cancelled(request, attempt) => {
                write!(f, "called off attempt {attempt} of request {request}")
            }
            TraceEvent::Refused(request) => write!(f, "refused request {request}"),
            TraceEvent::Failed(request) => write!(f, "answered request {request} as failed"),
            TraceEvent::Served(request) => write!(f, "passed on the answer to request {request}"),
            TraceEvent::Aborted(request) => write!(f, "the client of request {request} went away"),
            TraceEvent::Expired(request) => write!(f, "the deadline of request {request} passed"),
            TraceEvent::Listed(server, state, 0) => write!(f, "was told that server {server} is {state:?}"),
            TraceEvent::Listed(server, state, started) => {
                let started_ms = *started as f64 / 1e6;
                write!(f, "was told that server {server} is {state:?}, started at {started_ms:.3} ms")
            }
        }
    }
}

/// What one proxy remembers, and the breaches found at it.
#[derive(Default)]
pub struct Monitor {
    trace: VecDeque<(Nanos, TraceEvent)>,
    breaches: Vec<(Rule, Breach)>,
}

impl Monitor {
    /// Remembers an event.
    pub fn record(&mut self, at: Nanos, event: TraceEvent) {
        if self.trace.len() == MAX_TRACE_EVENTS {
            self.trace.pop_front();
        }
        self.trace.push_back((at, event));
    }

    /// A rule was broken. The first breach of each rule is reported in full, the others are counted.
    pub fn report_breach(&mut self, rule: Rule, at: Nanos, proxy: &str, subject: Subject, what: String) {
        if let Some((_, breach)) = self.breaches.iter_mut().find(|(broken, _)| *broken == rule) {
            breach.count += 1;
            return;
        }
        let concerned = self.trace.iter().filter(|(_, event)| event.concerns(subject));
        let line = |(at, event): &(Nanos, TraceEvent)| format!("{:.3} ms: {event}", *at as f64 / 1e6);
        let mut events: Vec<String> = concerned.map(line).collect();
        events.drain(..events.len().saturating_sub(MAX_REPORTED_EVENTS));
        let breach = Breach {
            rule: rule.name().to_owned(),
            count: 1,
            at_ms: at as f64 / 1e6,
            proxy: proxy.to_owned(),
            what,
            events,
        };
        self.breaches.push((rule, breach));
    }

    /// The breaches found.
    pub fn into_breaches(self) -> Vec<(Rule, Breach)> {
        self.breaches
    }
}

/// The first breach of each rule among all that were found, with the count of all.
pub fn first_of_each(mut breaches: Vec<(Rule, Breach)>) -> Vec<Breach> {
    breaches.sort_by(|(rule, breach), (other_rule, other)| {
        let by_time = breach.at_ms.total_cmp(&other.at_ms);
        rule.cmp(other_rule).then(by_time).then_with(|| breach.proxy.cmp(&other.proxy))
    });
    let mut first: Vec<(Rule, Breach)> = Vec::new();
    for (rule, breach) in breaches {
        match first.last_mut().filter(|(last, _)| *last == rule) {
            Some((_, earlier)) => earlier.count += breach.count,
            None => first.push((rule, breach)),
        }
    }
    first.into_iter().map(|(_, breach)| breach).collect()
}
