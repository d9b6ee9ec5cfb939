//! What holds memory, and how much of it.

use std::fmt;

/// What holds memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The program and the idle process.
    Process,
    /// The tables of endpoints.
    Endpoints,
    /// The connections of clients.
    ClientConnections,
    /// The connections to backends.
    BackendConnections,
    /// Requests in flight without a reservation of their own for a body.
    OpenRequests,
    /// Heads of requests that are too long for what a connection is charged for.
    RequestHeads,
    /// Bodies of requests.
    RequestBodies,
    /// Bodies of responses.
    ResponseBodies,
}

/// All owners, in the order of [`MemoryUsage`].
pub const OWNERS: [Owner; 8] = [
    Owner::Process,
    Owner::Endpoints,
    Owner::ClientConnections,
    Owner::BackendConnections,
    Owner::OpenRequests,
    Owner::RequestHeads,
    Owner::RequestBodies,
    Owner::ResponseBodies,
];

/// The number of queues in which reservations wait.
pub(super) const QUEUES: usize = 3;

impl Owner {
    /// The name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Owner::Process => "process",
            Owner::Endpoints => "endpoints",
            Owner::ClientConnections => "client_connections",
            Owner::BackendConnections => "backend_connections",
            Owner::OpenRequests => "open_requests",
            Owner::RequestHeads => "request_heads",
            Owner::RequestBodies => "request_bodies",
            Owner::ResponseBodies => "response_bodies",
        }
    }

    /// The queue in which reservations of this owner wait. A short request doesn't wait behind a long one.
    pub(super) fn queue(self) -> usize {
        match self {
            Owner::ResponseBodies => 0,
            Owner::OpenRequests => 1,
            _ => 2,
        }
    }
}

/// The memory that each owner holds, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage([usize; OWNERS.len()]);

impl MemoryUsage {
    /// What one owner holds.
    pub fn of(&self, owner: Owner) -> usize {
        self.0[owner as usize]
    }

    pub(super) fn set(&mut self, owner: Owner, bytes: usize) {
        self.0[owner as usize] = bytes;
    }

    /// What all owners hold.
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }

    /// What requests and responses hold beside their connections.
    pub(super) fn bodies(&self) -> usize {
        let bodies = [Owner::OpenRequests, Owner::RequestHeads, Owner::RequestBodies, Owner::ResponseBodies];
        bodies.into_iter().map(|owner| self.of(owner)).sum()
    }
}

impl fmt::Display for MemoryUsage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, owner) in OWNERS.into_iter().enumerate() {
            let separator = if n == 0 { "" } else { " " };
            write!(f, "{separator}{}={}", owner.name(), self.of(owner))?;
        }
        Ok(())
    }
}
