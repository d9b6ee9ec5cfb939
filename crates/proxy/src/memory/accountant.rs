//! Assigns the memory of the process to its owners.

use super::charge::{ConnectionCharge, ConnectionKind, EndpointsCharge};
use super::reservation::{PendingReservation, Priority, Reservation, WaitKey};
use super::usage::{MemoryUsage, Owner, QUEUES};
use super::{
    ALLOCATOR_SHARE, BACKEND_CONNECTION_BYTES, CLIENT_CONNECTION_BYTES, ENDPOINT_BYTES, OPEN_REQUEST_SHARE,
    PROCESS_BYTES, PROGRAM_BYTES, UNALLOCATED_BYTES,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The limit of a process whose limit is not configured, in bytes.
const DEFAULT_LIMIT_BYTES: usize = 192_000_000;
/// The share of the memory beside connections that requests may hold. The rest is for the responses that they
/// wait for, so that neither waits for the other.
const REQUEST_SHARE: f64 = 0.7;
/// The share of the memory beside connections that requests and responses together may hold. The rest is for
/// new connections.
const BODY_SHARE: f64 = 0.9;
/// The number of clients that are let in even if there is no memory for them: a process that lets none in is of
/// no use.
const MIN_CLIENT_CONNECTIONS: usize = 16;
/// Memory is short if requests may hold less than this in addition.
const SHORTAGE_BYTES: usize = 1024 * 1024;

struct Waiter {
    owner: Owner,
    bytes: usize,
    granted: oneshot::Sender<Reservation>,
}

/// Knows the limit and what each owner holds.
pub struct MemoryAccountant {
    /// The memory that may be assigned.
    assignable: Cell<usize>,
    usage: Cell<MemoryUsage>,
    /// The usage when the total was highest.
    peak: Cell<MemoryUsage>,
    /// The most that requests and responses held beside their connections.
    bodies_peak: Cell<usize>,
    /// The number of connections of each kind.
    connections: [Cell<usize>; 2],
    /// What the buffers of all connections occupy in addition, in bytes.
    buffers: Cell<usize>,
    next_sequence: Cell<u64>,
    /// Reservations that wait, by their owners' queues.
    waiting: [RefCell<BTreeMap<WaitKey, Waiter>>; QUEUES],
    /// The number of reservations that had to wait.
    waited: Cell<u64>,
    /// The number of reservations that were given up before they were granted.
    given_up: Cell<u64>,
    /// What the allocator counts, in bytes; 0 if it is not asked.
    allocated_bytes: fn() -> usize,
}

impl Default for MemoryAccountant {
    fn default() -> MemoryAccountant {
        MemoryAccountant::new(DEFAULT_LIMIT_BYTES)
    }
}

impl MemoryAccountant {
    /// Creates an accountant of a process that may use `limit` bytes.
    pub fn new(limit: usize) -> MemoryAccountant {
        let accountant = MemoryAccountant {
            assignable: Cell::new(0),
            usage: Cell::default(),
            peak: Cell::default(),
            bodies_peak: Cell::new(0),
            connections: Default::default(),
            buffers: Cell::new(0),
            next_sequence: Cell::new(0),
            waiting: Default::default(),
            waited: Cell::new(0),
            given_up: Cell::new(0),
            allocated_bytes: || 0,
        };
        accountant.set(Owner::Process, PROGRAM_BYTES + PROCESS_BYTES);
        accountant.assignable.set(assignable_bytes(limit, 1));
        accountant
    }

    /// Creates an accountant that also asks the allocator how many bytes are in use.
    pub fn measuring(limit: usize, allocated_bytes: fn() -> usize) -> MemoryAccountant {
        MemoryAccountant { allocated_bytes, ..MemoryAccountant::new(limit) }
    }

    /// Replaces the limit, which `processes` share. What is held stays; a lower limit only lets others wait.
    pub fn set_limit(self: &Rc<Self>, limit: usize, processes: u32) {
        self.assignable.set(assignable_bytes(limit, processes));
        self.grant_waiting();
    }

    /// The memory that may be assigned, in bytes.
    pub fn assignable(&self) -> usize {
        self.assignable.get()
    }

    /// What the allocator counts, in bytes; 0 if it is not asked.
    pub fn allocated(&self) -> usize {
        (self.allocated_bytes)()
    }

    /// What each owner holds.
    pub fn usage(&self) -> MemoryUsage {
        self.usage.get()
    }

    /// What each owner held when all together held the most.
    pub fn peak(&self) -> MemoryUsage {
        self.peak.get()
    }

    /// The most that requests and responses held beside their connections, in bytes.
    pub fn bodies_peak(&self) -> usize {
        self.bodies_peak.get()
    }

    /// The number of reservations that had to wait, and of those that were given up before they were granted.
    pub fn waits(&self) -> (u64, u64) {
        (self.waited.get(), self.given_up.get())
    }

    /// Charges the endpoints of a cluster. There are none yet.
    pub fn charge_endpoints(self: &Rc<Self>) -> EndpointsCharge {
        EndpointsCharge::new(self.clone())
    }

    /// Charges a new connection. It is never refused: see [`has_room_for_client`](Self::has_room_for_client).
    pub fn charge_connection(self: &Rc<Self>, kind: ConnectionKind) -> ConnectionCharge {
        let count = &self.connections[kind as usize];
        count.set(count.get() + 1);
        self.update_connections();
        ConnectionCharge::new(self.clone(), kind)
    }

    /// Whether there is memory for one more client connection and the backend connection of its request. A few
    /// are let in whatever the limit.
    pub fn has_room_for_client(&self) -> bool {
        if self.connections[ConnectionKind::Client as usize].get() < MIN_CLIENT_CONNECTIONS {
            return true;
        }
        let pair = CLIENT_CONNECTION_BYTES + BACKEND_CONNECTION_BYTES;
        self.fits_total(pair + self.kept_for_requests())
    }

    /// Whether there is memory for one more backend connection, unless a client connection paid for it.
    pub fn has_room_for_backend(&self) -> bool {
        let [clients, backends] = self.connections.each_ref().map(Cell::get);
        backends < clients || self.fits_total(BACKEND_CONNECTION_BYTES)
    }

    /// Whether requests wait for memory that connections hold.
    pub fn requests_wait(&self) -> bool {
        !self.waiting[Owner::OpenRequests.queue()].borrow().is_empty()
    }

    /// Grants reservations that wait for what the allocator counts. Memory is freed a moment after it was released here,
    /// and nothing else tells.
    pub fn grant_what_fits(self: &Rc<Self>) {
        self.grant_waiting();
    }

    /// What is in use: what the owners hold, or what the allocator counts if that is more.
    fn total(&self) -> usize {
        let measured = PROGRAM_BYTES + UNALLOCATED_BYTES + self.allocated();
        self.usage.get().total().max(measured)
    }

    /// What connections leave to requests and is not in use by them.
    fn kept_for_requests(&self) -> usize {
        let for_all = self.assignable.get().saturating_sub(PROGRAM_BYTES + PROCESS_BYTES);
        let for_requests = (for_all as f64 * OPEN_REQUEST_SHARE) as usize;
        for_requests.saturating_sub(self.usage.get().bodies())
    }

    /// Whether so much more may be in use.
    fn fits_total(&self, bytes: usize) -> bool {
        self.total() + bytes <= self.assignable.get()
    }

    /// Reserves bytes if the limit allows it now and nothing waits for the same memory.
    pub fn try_reserve(self: &Rc<Self>, owner: Owner, bytes: usize) -> Option<Reservation> {
        let nothing_waits = self.waiting[owner.queue()].borrow().is_empty();
        (nothing_waits && self.fits(owner, bytes)).then(|| self.assign(owner, bytes))
    }

    /// Reserves bytes as soon as the limit allows it.
    pub fn reserve(self: &Rc<Self>, owner: Owner, bytes: usize, priority: Priority) -> PendingReservation {
        let (granted, reservation) = oneshot::channel();
        let sequence = self.next_sequence.replace(self.next_sequence.get() + 1);
        let key = priority.wait_key(sequence);
        let queue = owner.queue();
        self.waiting[queue].borrow_mut().insert(key, Waiter { owner, bytes, granted });
        self.grant_waiting();
        if self.waiting[queue].borrow().contains_key(&key) {
            self.waited.set(self.waited.get() + 1);
        }
        PendingReservation::new(self.clone(), queue, key, reservation)
    }

    /// Whether connections should give back buffers that they keep: bodies wait for memory, or would soon.
    pub fn is_short(&self) -> bool {
        let somebody_waits = self.waiting.iter().any(|queue| !queue.borrow().is_empty());
        somebody_waits || !self.has_room(REQUEST_SHARE, SHORTAGE_BYTES)
    }

    /// Whether bytes can be reserved. The only reservation of its kind always can, whatever the limit: otherwise
    /// a low limit would let no long body pass.
    fn fits(&self, owner: Owner, bytes: usize) -> bool {
        let share = if owner == Owner::ResponseBodies { BODY_SHARE } else { REQUEST_SHARE };
        self.usage.get().of(owner) == 0 || self.has_room(share, bytes)
    }

    /// Whether bodies may hold so much more of their share of the memory.
    fn has_room(&self, share: f64, bytes: usize) -> bool {
        let usage = self.usage.get();
        let for_bodies = (self.assignable.get() + usage.bodies()).saturating_sub(usage.total());
        let fits_share = usage.bodies() + bytes <= (for_bodies as f64 * share) as usize;
        fits_share && self.fits_total(bytes)
    }

    fn assign(self: &Rc<Self>, owner: Owner, bytes: usize) -> Reservation {
        self.set(owner, self.usage.get().of(owner) + bytes);
        Reservation::new(self.clone(), owner, bytes)
    }

    /// Grants reservations that wait, in their order, until one does not fit.
    fn grant_waiting(self: &Rc<Self>) {
        for queue in &self.waiting {
            while let Some(waiter) = self.next_fitting(queue) {
                let reservation = self.assign(waiter.owner, waiter.bytes);
                let _ = waiter.granted.send(reservation); // one that nobody receives is released
            }
        }
    }

    fn next_fitting(&self, queue: &RefCell<BTreeMap<WaitKey, Waiter>>) -> Option<Waiter> {
        let mut queue = queue.borrow_mut();
        let first = queue.first_entry()?;
        let Waiter { owner, bytes, .. } = *first.get();
        self.fits(owner, bytes).then(|| first.remove())
    }

    /// Replaces the number of endpoints of a cluster.
    pub(super) fn change_endpoints(self: &Rc<Self>, before: usize, after: usize) {
        let all = self.usage.get().of(Owner::Endpoints);
        self.set(Owner::Endpoints, all - before * ENDPOINT_BYTES + after * ENDPOINT_BYTES);
        self.grant_waiting();
    }

    /// Ends the charge of a connection.
    pub(super) fn connection_closed(self: &Rc<Self>, kind: ConnectionKind) {
        let count = &self.connections[kind as usize];
        count.set(count.get() - 1);
        self.update_connections();
        self.grant_waiting();
    }

    /// Whether the buffers of a connection may occupy so much more.
    pub(super) fn has_room_for_buffers(&self, bytes: usize) -> bool {
        self.fits_total(bytes + self.kept_for_requests())
    }

    /// Replaces what the buffers of a connection occupy in addition.
    pub(super) fn change_buffers(&self, before: usize, after: usize) {
        self.buffers.set(self.buffers.get() - before + after);
        self.update_connections();
    }

    /// Removes a reservation that waits. Does nothing if it was granted.
    pub(super) fn give_up(self: &Rc<Self>, queue: usize, key: &WaitKey) {
        let removed = self.waiting[queue].borrow_mut().remove(key);
        if removed.is_some() {
            self.given_up.set(self.given_up.get() + 1);
            self.grant_waiting(); // a smaller one may have waited behind it
        }
    }

    fn update_connections(&self) {
        let [clients, backends] = self.connections.each_ref().map(Cell::get);
        let client_bytes = clients * CLIENT_CONNECTION_BYTES + self.buffers.get();
        self.set(Owner::ClientConnections, client_bytes);
        // A request of each client may need a backend connection, which must not wait for memory then.
        self.set(Owner::BackendConnections, backends.max(clients) * BACKEND_CONNECTION_BYTES);
    }

    fn set(&self, owner: Owner, bytes: usize) {
        let mut usage = self.usage.get();
        usage.set(owner, bytes);
        self.usage.set(usage);
        self.bodies_peak.set(self.bodies_peak.get().max(usage.bodies()));
        if usage.total() > self.peak.get().total() {
            self.peak.set(usage);
        }
    }

    pub(super) fn release(self: &Rc<Self>, owner: Owner, bytes: usize) {
        self.set(owner, self.usage.get().of(owner) - bytes);
        self.grant_waiting();
    }
}

/// Returns the memory that one of `processes` may assign if they share a limit.
pub(super) fn assignable_bytes(limit: usize, processes: u32) -> usize {
    let usable = (limit as f64 * (1.0 - ALLOCATOR_SHARE)) as usize;
    usable.saturating_sub(PROGRAM_BYTES) / processes.max(1) as usize + PROGRAM_BYTES
}

#[cfg(test)]
mod tests;
