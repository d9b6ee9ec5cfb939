//! The model of a fleet: clients, proxies, servers, discovery and the network between them. Its proxies use
//! the real decision module or another policy, and the engine runs it in virtual time.
//!
//! Owns the behavior of all nodes of a run. [`crate::run`] runs it; the stand-ins on sockets use its
//! [`Topology`], so that a scenario means the same there. It does no I/O.

mod clients;
mod context;
mod counters;
mod digest;
mod discovery;
mod faults;
mod machine;
mod message;
mod monitor;
mod network;
mod output;
mod pressure;
mod proxy;
mod sample;
mod server;
mod topology;

pub use counters::{CompletedRequest, Counters};
pub use digest::digest;
pub use message::{MachineChange, RequestOutcome};
pub use monitor::{Rule, first_of_each};
pub use output::ThreadOutput;
pub use topology::{MachineSpec, NO_TENANT, PolicyChoice, ServerSpec, Topology, mix};

use crate::engine::{Model, Outbox};
use clients::Clients;
use context::{Context, ThreadState};
use discovery::Discovery;
use machine::Machine;
use message::{Message, ServerStateBroadcast};
use olivecart_decisions::Nanos;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

enum Role {
    Clients(Clients),
    Machine(Box<Machine>),
    Discovery(Discovery),
}

impl Role {
    fn handle(&mut self, context: &mut Context, message: Message) {
        match self {
            Role::Clients(clients) => clients.handle(context, message),
            Role::Machine(machine) => machine.handle(context, message),
            Role::Discovery(discovery) => discovery.handle(context, message),
        }
    }

    /// Whether the node's counters account for every request.
    fn has_consistent_counts(&self) -> bool {
        match self {
            Role::Clients(clients) => clients.has_consistent_counts(),
            Role::Machine(machine) => machine.has_consistent_counts(),
            Role::Discovery(_) => true,
        }
    }
}

/// A node of the model.
pub struct Node {
    role: Role,
    rng: Pcg64Mcg,
    /// The digest of all events that the node has handled.
    digest: u64,
}

impl Model for Topology {
    type Node = Node;
    type Message = Message;
    type Broadcast = ServerStateBroadcast;
    type ThreadState = ThreadState;
    type ThreadOutput = ThreadOutput;

    fn node_count(&self) -> u32 {
        self.discovery_node() + 1
    }

    fn lookahead(&self) -> Nanos {
        network::min_delay(&self.scenario.network)
    }

    fn end_time(&self) -> Nanos {
        self.ends()
    }

    fn thread_state(&self) -> ThreadState {
        ThreadState::new(self)
    }

    fn create_node(&self, id: u32, thread: &mut ThreadState, outbox: &mut Outbox<Topology>) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(mix(self.seed, u64::from(id) + 1));
        let mut context = Context { topology: self, now: 0, rng: &mut rng, outbox, thread };
        let role = if id < self.clients {
            Role::Clients(Clients::new(id, &mut context))
        } else if id < self.discovery_node() {
            Role::Machine(Box::new(Machine::new(id - self.clients, &mut context)))
        } else {
            Role::Discovery(Discovery::new(id, &mut context))
        };
        Node { role, rng, digest: u64::from(id) }
    }

    fn handle(
        &self,
        node: &mut Node,
        now: Nanos,
        message: Message,
        thread: &mut ThreadState,
        outbox: &mut Outbox<Topology>,
    ) {
        thread.clock.set(now);
        node.digest = mix(node.digest ^ now, message.fingerprint());
        let mut context = Context { topology: self, now, rng: &mut node.rng, outbox, thread };
        node.role.handle(&mut context, message);
        if !node.role.has_consistent_counts() {
            thread.counters.record_violation("a request was lost or counted twice in the model");
        }
    }

    fn receive_broadcast(&self, broadcast: ServerStateBroadcast, thread: &mut ThreadState) {
        let mut true_states = thread.true_states.borrow_mut();
        let tier = true_states.get_mut(broadcast.tier as usize);
        if let Some(state) = tier.and_then(|tier| tier.get_mut(broadcast.slot as usize)) {
            *state = broadcast.true_state;
        }
    }

    fn open_requests(&self, thread: &ThreadState) -> u64 {
        thread.open_requests
    }

    fn max_open_requests(&self) -> u64 {
        self.scenario.model.most_open
    }

    fn max_pending_events(&self) -> u64 {
        self.scenario.model.most_events
    }

    fn finish(&self, nodes: Vec<(u32, Node)>, thread: ThreadState) -> ThreadOutput {
        let mut output = ThreadOutput::new(thread);
        for (id, node) in nodes {
            output.digests.push((id, node.digest));
            match node.role {
                Role::Machine(machine) => output.add_machine(self, id, *machine),
                Role::Clients(clients) if clients.open() > 0 => {
                    output.counters.record_violation("a client request was still open at the end of the run");
                }
                Role::Clients(_) | Role::Discovery(_) => {}
            }
        }
        output
    }
}
