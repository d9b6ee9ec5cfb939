//! Simulates the restart of a control plane with many sidecars in virtual time.
//!
//! Each sidecar runs the real xDS session, the real catalog and the real decisions of each cluster. The
//! control plane is the stand-in's session behind a queue with a limited service rate. Servers answer every
//! request while they run; overload is simulated in [`crate::model`] and not here.

mod fleet;
mod plane;
mod sidecar;

use crate::control_plane::{Heard, Said};
use crate::engine::{self, EngineError, Model, Outbox};
use crate::model::mix;
use fleet::Fleet;
use olivecart_decisions::{EndpointId, Nanos, Outcome, Timer};
use olivecart_membership::xds::session::Variant;
use plane::Plane;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use sidecar::Sidecar;
pub use sidecar::VARIANTS;
use std::fmt;
use std::time::Duration;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of sidecars; at least one.
    pub sidecars: u32,
    /// The number of clusters; at least one. Every sidecar calls all clusters.
    pub clusters: u32,
    /// The number of endpoints of each cluster; at least two.
    pub endpoints: u32,
    /// Requests per second of each sidecar.
    pub rate: f64,
    /// The variant of the protocol.
    pub variant: Variant,
    /// The length of the control plane's outage, which begins 10 s after the start of the run.
    pub outage: Duration,
    /// The share of endpoints that are replaced during the outage; in [0, 1].
    pub replaced: f64,
    /// Connections per second that the control plane can accept.
    pub accepts: f64,
    /// The largest number of connections that wait at the control plane. Further ones are refused.
    pub backlog: usize,
    /// The largest reconnect backoff.
    pub backoff: Duration,
    /// All sidecars draw their backoff from the same seed, as if their jitter were not independent.
    pub one_seed: bool,
    /// The seed of all random numbers.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            sidecars: 1000,
            clusters: 3,
            endpoints: 30,
            rate: 5.0,
            variant: Variant::Incremental,
            outage: Duration::from_secs(5),
            replaced: 0.3,
            accepts: 500.0,
            backlog: 128,
            backoff: Duration::from_secs(30),
            one_seed: false,
            seed: 1,
        }
    }
}

/// A plan with a value out of range.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{key} {must}")]
pub struct BadPlan {
    /// The key.
    pub key: &'static str,
    /// The requirement on its value.
    pub must: &'static str,
}

/// When the outage of the control plane begins, in nanoseconds.
const GOES: Nanos = 10_000_000_000;
/// How long the run lasts after the control plane's return, in nanoseconds.
const AFTER: Nanos = 60_000_000_000;
/// The network latency between two nodes, in nanoseconds.
const LATENCY: Nanos = 500_000;
/// The largest number of pending events; they take some GiB.
const MOST_EVENTS: u64 = 20_000_000;

impl Plan {
    /// Checks that all values are in range.
    ///
    /// # Errors
    /// The first key that is out of its range.
    pub fn check(&self) -> Result<(), BadPlan> {
        let bad = |key, must| Err(BadPlan { key, must });
        if !(1..=100_000).contains(&self.sidecars) {
            return bad("sidecars", "must be from 1 to 100000");
        }
        if !(1..=1000).contains(&self.clusters) {
            return bad("clusters", "must be from 1 to 1000");
        }
        if !(2..=10_000).contains(&self.endpoints) {
            return bad("endpoints", "must be from 2 to 10000");
        }
        if !(self.rate > 0.0 && self.rate <= 1e5) {
            return bad("rate", "must be above 0 and at most 100000");
        }
        if !(0.0..=1.0).contains(&self.replaced) {
            return bad("replaced", "must be from 0 to 1");
        }
        if !(self.accepts > 0.0 && self.accepts <= 1e6) {
            return bad("accepts", "must be above 0 and at most 1000000");
        }
        if self.backlog == 0 {
            return bad("backlog", "must be at least 1");
        }
        let hour = Duration::from_secs(3600);
        if self.outage < Duration::from_millis(100) || self.outage > hour {
            return bad("outage", "must be from 100ms to 1h");
        }
        if self.backoff < Duration::from_millis(10) || self.backoff > hour {
            return bad("backoff", "must be from 10ms to 1h");
        }
        Ok(())
    }

    fn back(&self) -> Nanos {
        GOES + self.outage.as_nanos() as Nanos
    }
}

/// Request counts of one phase of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Requests {
    /// Requests that arrived.
    pub taken: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were shed or failed.
    pub lost: u64,
    /// Attempts after the first of a request.
    pub again: u64,
}

impl Requests {
    fn add(&mut self, other: &Requests) {
        self.taken += other.taken;
        self.answered += other.answered;
        self.lost += other.lost;
        self.again += other.again;
    }
}

/// The result of a run. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcomes {
    /// Connection attempts at the control plane by second of the run.
    pub dials: Vec<u32>,
    /// The largest number of connection attempts in 100 ms after the control plane's return.
    pub most_dials_in_100_ms: u32,
    /// Connections that the control plane refused after its return.
    pub refused: u64,
    /// The largest number of connections that waited at the control plane.
    pub longest_queue: usize,
    /// The time from the control plane's return until a sidecar had the newest endpoints: median, 99th percentile
    /// and maximum over all sidecars.
    pub newest_ms: [u64; 3],
    /// Sidecars that never had the newest endpoints.
    pub never: u64,
    /// Requests before, during and after the outage.
    pub requests: [Requests; 3],
    /// Bytes of resources that the control plane sent after its return.
    pub sent_bytes: u64,
    /// Simulated events.
    pub events: u64,
    /// A digest of the run: equal for equal plans, on any number of threads.
    pub digest: String,
}

/// Runs a plan.
///
/// # Errors
/// The plan is invalid, or the simulation stopped early.
pub fn play(plan: Plan, threads: usize) -> Result<Outcomes, PlayError> {
    plan.check()?;
    let fleet = Fleet::new(&plan);
    let world = World { newest: fleet.print(plan.back()), fleet, plan };
    let outcome = engine::run(&world, threads)?;
    let mut all = Outcomes { events: outcome.events, ..Outcomes::default() };
    let (mut newest, mut digests) = (Vec::new(), Vec::new());
    for rest in outcome.outputs.into_iter().flatten() {
        digests.push((rest.node, rest.digest));
        match rest.of {
            Of::Plane(plane) => {
                all.dials = plane.dials;
                all.most_dials_in_100_ms = plane.most_in_100_ms;
                (all.refused, all.longest_queue) = (plane.refused, plane.longest_queue);
                all.sent_bytes = plane.sent_bytes;
            }
            Of::Sidecar { requests, newest: at } => {
                all.requests.iter_mut().zip(&requests).for_each(|(sum, one)| sum.add(one));
                match at {
                    Some(at) => newest.push(at.saturating_sub(world.plan.back()) / 1_000_000),
                    None => all.never += 1,
                }
            }
        }
    }
    newest.sort_unstable();
    let at = |share: f64| newest.get((newest.len().saturating_sub(1) as f64 * share) as usize).copied();
    all.newest_ms = [0.5, 0.99, 1.0].map(|share| at(share).unwrap_or(0));
    digests.sort_unstable();
    all.digest = format!("{:016x}", digests.iter().fold(0, |sum, (_, digest)| mix(sum, *digest)));
    Ok(all)
}

/// Why a plan could not be run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The plan is invalid.
    #[error(transparent)]
    Plan(#[from] BadPlan),
    /// The simulation stopped before its end.
    #[error(transparent)]
    Engine(#[from] EngineError),
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let from = (GOES / 1_000_000_000) as usize;
        let dials: Vec<String> = self.dials.iter().skip(from).take(20).map(u32::to_string).collect();
        writeln!(
            f,
            "connections asked for, each second from the control plane's end on: {}",
            dials.join(" ")
        )?;
        let Outcomes { most_dials_in_100_ms, refused, longest_queue, .. } = self;
        write!(f, "after its return: at most {most_dials_in_100_ms} in 100 ms, {refused} refused, ")?;
        writeln!(f, "at most {longest_queue} waiting, {} bytes sent", self.sent_bytes)?;
        let ([half, most, last], never) = (self.newest_ms, self.never);
        writeln!(f, "newest lists held: median {half} ms, p99 {most} ms, last {last} ms; never by {never}")?;
        for (when, r) in ["before", "while away", "after"].iter().zip(&self.requests) {
            let Requests { taken, answered, lost, again } = r;
            writeln!(f, "requests {when}: {taken}, answered {answered}, lost {lost}, sent again {again}")?;
        }
        write!(f, "digest: {}", self.digest)
    }
}

/// Messages between nodes, and timers of a node. The control plane is node 0.
#[derive(Debug)]
enum Message {
    // To the control plane.
    /// A sidecar connects: its id and the number of its connection.
    Dial(u32, u32),
    /// A sidecar sends a request on its connection.
    Request(u32, u32, Box<Heard>),
    /// A sidecar closes a connection.
    HangUp(u32, u32),
    // Timers of the control plane.
    Worked,
    Goes,
    Returns,
    /// The set of servers changes to this generation.
    Changes(usize),
    // To a sidecar, with the number of its connection.
    Accepted(u32),
    Lost(u32),
    Response(u32, Box<Said>),
    // Timers of a sidecar.
    /// The deadline of the session or the catalog.
    Wake,
    /// The session may read the next response.
    Read,
    /// The connect timeout of a connection.
    TooLong(u32),
    Arrival,
    Timer(u32, Timer),
    Attempt(u32, Attempt),
    Checked(u32, EndpointId, Outcome, Nanos),
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: u64,
    attempt: u32,
    endpoint: EndpointId,
    outcome: Outcome,
    sent: Nanos,
}

impl Message {
    /// Returns a number that identifies the message, for the digest.
    fn fingerprint(&self) -> u64 {
        match self {
            Message::Dial(from, n) => 1 << 60 | u64::from(*from) << 20 | u64::from(*n),
            Message::Request(from, n, _) => 2 << 60 | u64::from(*from) << 20 | u64::from(*n),
            Message::HangUp(from, n) => 3 << 60 | u64::from(*from) << 20 | u64::from(*n),
            Message::Worked => 4,
            Message::Goes => 5,
            Message::Returns => 6,
            Message::Changes(generation) => 7 << 60 | *generation as u64,
            Message::Accepted(n) => 8 << 60 | u64::from(*n),
            Message::Lost(n) => 9 << 60 | u64::from(*n),
            Message::Response(n, _) => 10 << 60 | u64::from(*n),
            Message::Wake => 11,
            Message::Read => 12,
            Message::TooLong(n) => 13 << 60 | u64::from(*n),
            Message::Arrival => 14,
            Message::Timer(cluster, _) => 15 << 60 | u64::from(*cluster),
            Message::Attempt(_, a) => a.request << 16 | u64::from(a.endpoint.0) << 4 | a.outcome as u64,
            Message::Checked(_, endpoint, outcome, _) => u64::from(endpoint.0) << 4 | *outcome as u64,
        }
    }
}

struct World {
    plan: Plan,
    fleet: Fleet,
    /// The fingerprint of the newest set of servers.
    newest: u64,
}

struct Node {
    digest: u64,
    rng: Pcg64Mcg,
    role: Role,
}

enum Role {
    Plane(Plane),
    Sidecar(Box<Sidecar>),
}

/// The output of a node.
struct Rest {
    node: u32,
    digest: u64,
    of: Of,
}

enum Of {
    Plane(plane::Tally),
    Sidecar { requests: [Requests; 3], newest: Option<Nanos> },
}

impl Model for World {
    type Node = Node;
    type Message = Message;
    type Broadcast = ();
    type ThreadState = ();
    type ThreadOutput = Vec<Rest>;

    fn node_count(&self) -> u32 {
        self.plan.sidecars + 1
    }
    fn lookahead(&self) -> Nanos {
        LATENCY
    }
    fn end_time(&self) -> Nanos {
        self.plan.back() + AFTER
    }
    fn thread_state(&self) {}
    fn create_node(&self, id: u32, (): &mut (), out: &mut Outbox<Self>) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(mix(self.plan.seed, u64::from(id)));
        let role = match id {
            0 => Role::Plane(Plane::new(self, out)),
            _ => Role::Sidecar(Box::new(Sidecar::new(self, id, &mut rng, out))),
        };
        Node { digest: u64::from(id), rng, role }
    }
    fn handle(&self, node: &mut Node, now: Nanos, message: Message, (): &mut (), out: &mut Outbox<Self>) {
        node.digest = mix(node.digest ^ now, message.fingerprint());
        match &mut node.role {
            Role::Plane(plane) => plane.handle(self, now, message, out),
            Role::Sidecar(sidecar) => sidecar.handle(self, &mut node.rng, now, message, out),
        }
    }
    fn receive_broadcast(&self, (): (), (): &mut ()) {}
    fn open_requests(&self, (): &()) -> u64 {
        0
    }
    fn max_open_requests(&self) -> u64 {
        u64::MAX
    }
    fn max_pending_events(&self) -> u64 {
        MOST_EVENTS
    }
    fn finish(&self, nodes: Vec<(u32, Node)>, (): ()) -> Vec<Rest> {
        let rest = |(node, Node { digest, role, .. }): (u32, Node)| {
            let of = match role {
                Role::Plane(plane) => Of::Plane(plane.tally()),
                Role::Sidecar(sidecar) => sidecar.rest(),
            };
            Rest { node, digest, of }
        };
        nodes.into_iter().map(rest).collect()
    }
}
