//! The four rules that policies must keep, and the trace of events that is reported with a breach.
//!
//! Proxies and servers check the rules. The checks use only what the proxy received and did, never the state
//! of its policy.

use crate::run_result::Breach;
use olivecart_decisions::{EndpointState, Nanos, Outcome};
use std::collections::VecDeque;
use std::fmt;

/// The maximum number of events in the trace of a proxy.
const MAX_TRACE_EVENTS: usize = 400;
/// The maximum number of events reported with a breach.
const MAX_REPORTED_EVENTS: usize = 40;

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request gets one final response in time, and nothing is sent for it afterwards.
    Answer,
    /// A request has no second effect and no concurrent attempts.
    Effect,
    /// A draining or removed server gets no new attempts after the grace period.
    Drain,
    /// A cold server is not overloaded.
    Cold,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 4] = [Rule::Answer, Rule::Effect, Rule::Drain, Rule::Cold];

    /// The name of the rule in results.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Effect => "effect",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
        }
    }
}

/// An event at a proxy.
#[derive(Clone, Copy, Debug)]
pub enum TraceEvent {
    /// The proxy accepted a request.
    Accepted(u64),
    /// The proxy sent an attempt of a request to a server: request, attempt, server.
    Sent(u64, u32, u32),
    /// An attempt of a request at a server ended: request, attempt, server, outcome.
    Ended(u64, u32, u32, Outcome),
    /// The policy cancelled an attempt of a request: request, attempt.
    Cancelled(u64, u32),
    /// A request was refused.
    Refused(u64),
    /// A request failed.
    Failed(u64),
    /// A request was served.
    Served(u64),
    /// The client of a request disconnected.
    Aborted(u64),
    /// The deadline of a request expired.
    Expired(u64),
    /// A list update contained a server: server, state, start time.
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
    /// A breach that concerns a request, but no particular server.
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
            TraceEvent::Accepted(request) => write!(f, "accepted request {request}"),
            TraceEvent::Sent(request, attempt, server) => {
                write!(f, "sent attempt {attempt} of request {request} to server {server}")
            }
            TraceEvent::Ended(request, attempt, server, outcome) => {
                write!(f, "attempt {attempt} of request {request} at server {server} ended: {outcome:?}")
            }
            TraceEvent::Cancelled(request, attempt) => {
                write!(f, "cancelled attempt {attempt} of request {request}")
            }
            TraceEvent::Refused(request) => write!(f, "refused request {request}"),
            TraceEvent::Failed(request) => write!(f, "failed request {request}"),
            TraceEvent::Served(request) => write!(f, "forwarded the response to request {request}"),
            TraceEvent::Aborted(request) => write!(f, "the client of request {request} disconnected"),
            TraceEvent::Expired(request) => write!(f, "the deadline of request {request} expired"),
            TraceEvent::Listed(server, state, 0) => write!(f, "received state {state:?} of server {server}"),
            TraceEvent::Listed(server, state, started) => {
                let started_ms = *started as f64 / 1e6;
                write!(f, "received state {state:?} of server {server}, started at {started_ms:.3} ms")
            }
        }
    }
}

/// The trace of one proxy, and the breaches found at it.
#[derive(Default)]
pub struct Monitor {
    trace: VecDeque<(Nanos, TraceEvent)>,
    breaches: Vec<(Rule, Breach)>,
}

impl Monitor {
    /// Adds an event to the trace.
    pub fn record(&mut self, at: Nanos, event: TraceEvent) {
        if self.trace.len() == MAX_TRACE_EVENTS {
            self.trace.pop_front();
        }
        self.trace.push_back((at, event));
    }

    /// Records a breach. The first breach of each rule is reported in full, later ones are only counted.
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

    /// Returns the breaches found.
    pub fn into_breaches(self) -> Vec<(Rule, Breach)> {
        self.breaches
    }
}

/// Returns the first breach of each rule, with the number of all breaches of that rule.
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
