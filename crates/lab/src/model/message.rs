//! What the nodes of the model tell each other and themselves.

use crate::engine;
use olivecart_decisions::{EndpointState, LoadReport, Nanos, Outcome, Timer};
use std::sync::Arc;

/// A client's request over all its tries: the node that holds it, its place there, and a number that tells
/// it from others that had the place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Logical {
    /// The clients' node.
    pub node: u32,
    /// Its place.
    pub slot: u32,
    /// How many had the place before.
    pub generation: u32,
}

/// A request as it comes to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whose it is in the end.
    pub logical: Logical,
    /// Which of the client's tries.
    pub attempt: u8,
    /// Its class.
    pub class: u16,
    /// Its tenant; `u16::MAX`: none.
    pub tenant: u16,
    /// Its caller marked it as a repeat.
    pub retry: bool,
    /// Until when its caller waits.
    pub deadline: Nanos,
    /// Its work over all tiers, in nanoseconds on a core of speed 1.
    pub work: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Served; the work that was done for the answer, over all tiers.
    Served(u64),
    /// Refused; when to come back, 0: nothing said.
    Refused(Nanos),
    /// Failed.
    Failed,
    /// There was no proxy to take it, or it died.
    Unreachable,
}

/// An attempt, by who sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The proxy's node.
    pub proxy: u32,
    /// Its number for the request.
    pub request: u64,
    /// Which of the request's attempts.
    pub number: u32,
}

/// An attempt as it comes to a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Who sent it.
    pub id: AttemptId,
    /// Whose it is in the end.
    pub logical: Logical,
    /// Its class.
    pub class: u16,
    /// Its tenant; `u16::MAX`: none.
    pub tenant: u16,
    /// Until when its proxy waits.
    pub deadline: Nanos,
    /// The request's work over all tiers.
    pub work: u64,
    /// On a kept connection to this life of the server; none: on a new one.
    pub kept: Option<u32>,
    /// Its proxy was told when the server last started, as that was then.
    pub told_started: Nanos,
    /// Its connection breaks once it is written.
    pub breaks: bool,
}

/// A connection's way to its end.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// The life of the server that it led to.
    pub life: u32,
    /// How many.
    pub count: u32,
}

/// The end of an attempt as its server tells it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The request's number at its proxy.
    pub request: u64,
    /// Which of its attempts.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The life of the server, if the connection stays open.
    pub kept: Option<u32>,
    /// Work done for it over all tiers.
    pub work: u64,
    /// The load report.
    pub load: Option<LoadReport>,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The server's place in its tier.
    pub slot: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When it last started; 0: long ago.
    pub started: Nanos,
}

/// What discovery tells.
#[derive(Clone, Debug)]
pub enum News {
    /// The whole list.
    Full(Arc<[Line]>),
    /// What changed.
    Delta(Arc<[Line]>),
    /// The call failed, or the watch broke.
    Failed,
}

/// A change of a machine's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Its process dies. Silent: with its machine, and nobody is told.
    Die {
        /// Nothing is sent any more.
        silent: bool,
    },
    /// Its process starts.
    Start,
    /// It finishes what it has and takes nothing new.
    Drain,
    /// It fails this share of its requests at once; 0: no more.
    Errors(f64),
    /// It is this many times slower; 1: no more.
    Slow(f64),
    /// It answers no requests; or does again.
    Hang(bool),
    /// Its load reports come this much later; 0: no more.
    Late(Nanos),
}

/// Everything that can happen to a node.
#[derive(Clone, Debug)]
pub enum Message {
    // ---- to oneself ----
    /// The next client arrives.
    Arrive,
    /// A client's try has had its time.
    Patience(Logical, u8),
    /// A client closes its connection before that.
    Leaves(Logical, u8),
    /// A client tries again.
    Again(Logical),
    /// A request's time at a proxy is up.
    Expired(u64),
    /// And its grace too.
    Overdue(u64),
    /// A timer of the policy; of this life of the proxy.
    Timer(Timer, u32),
    /// An attempt's time is up: its connection did not come up, or what it was given has passed.
    Capped {
        /// The request's number.
        request: u64,
        /// Which of its attempts.
        number: u32,
        /// How it ends, if it has not ended yet.
        outcome: Outcome,
    },
    /// A probe was not answered in time; which one.
    ProbeLost(u64),
    /// Idle connections are looked at; of this life of the proxy.
    Sweep(u32),
    /// The standing of endpoints is looked at, for the report.
    Look,
    /// A core has finished a part of a job, in this run of it.
    Worked {
        /// The job.
        job: u32,
        /// Which run.
        run: u32,
    },
    /// A server stands still.
    Pause,
    /// A fault begins or ends here.
    Change(Change),
    /// Discovery hears of changes.
    Heard(Arc<[(u8, Line)]>),
    /// A call at discovery has its turn: by whom, and whether to watch.
    Turn(u32, bool),
    /// An outage of discovery begins.
    Outage,

    // ---- over the network ----
    /// To a proxy.
    Request(Call),
    /// To a client: of one of its tries.
    Reply(Logical, u8, Verdict),
    /// To a proxy: the client closed its connection.
    Gone(Logical, u8),
    /// To a server.
    Attempt(Attempt),
    /// To a server: an attempt is given up with its connection.
    Drop(AttemptId),
    /// To a server: connections are closed.
    Closed(Closed),
    /// To a proxy.
    Answer(Answer),
    /// To a server: a probe, by which proxy, which one.
    Probe(u32, u64),
    /// To a proxy: which probe, how it ended, with what report.
    Probed(u64, Outcome, Option<LoadReport>),
    /// To discovery: by whom, and whether to watch from now on.
    Ask(u32, bool),
    /// To a proxy.
    News(News),
    /// To a client: a request had its effect in this group of servers.
    Executed(Logical, u64),
}

/// The true state of a server, broadcast to all threads.
#[derive(Clone, Copy, Debug)]
pub struct ServerStateBroadcast {
    /// The tier.
    pub tier: u8,
    /// The server's place in it.
    pub slot: u32,
    /// Its state.
    pub true_state: crate::policy::TrueState,
}

/// Where nodes put what they cause.
pub type Out = engine::Outbox<super::World>;
