use super::*;
use crate::memory::{BufferUse, GROWN_BUFFERS_BYTES};
use futures_util::FutureExt;
use proptest::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

const KIB: usize = 1024;
/// A limit under which the bodies of the tests have 50 kB.
const LIMIT: usize = (PROGRAM_BYTES + PROCESS_BYTES + 50_000) * 10 / 9 + 1;

fn priority(weight: f64, remaining_bytes: u64) -> Priority {
    Priority { weight, remaining_bytes }
}

fn accountant() -> Rc<MemoryAccountant> {
    Rc::new(MemoryAccountant::new(LIMIT))
}

/// Reserves until nothing more fits.
fn fill(memory: &Rc<MemoryAccountant>, owner: Owner) -> Vec<Reservation> {
    std::iter::from_fn(|| memory.try_reserve(owner, KIB)).collect()
}

/// Guards against requests that hold all memory while their responses wait for some, until the deadline.
#[test]
fn requests_leave_memory_for_responses_and_both_leave_some_for_connections() {
    let memory = accountant();
    let requests = fill(&memory, Owner::RequestBodies);
    let responses = fill(&memory, Owner::ResponseBodies);
    assert!(requests.len() > 2 * responses.len() && responses.len() > 5, "{:?}", memory.usage());
    assert!(memory.try_reserve(Owner::RequestHeads, KIB).is_some(), "the first of its kind");
    assert!(memory.usage().total() < memory.assignable());
    drop((requests, responses));
    assert_eq!(memory.usage().bodies(), 0);
}

#[test]
fn waiting_reservations_are_granted_by_weight_then_by_length_and_none_is_overtaken() {
    let memory = accountant();
    let mut held = fill(&memory, Owner::RequestBodies);
    let wait =
        |weight, remaining| Box::pin(memory.reserve(Owner::RequestBodies, KIB, priority(weight, remaining)));
    let mut waiting = [wait(1.0, 9), wait(2.0, 100), wait(1.0, 5), wait(0.5, 1)];
    assert!(waiting.iter_mut().all(|waiting| waiting.now_or_never().is_none()));
    let mut granted = Vec::new();
    for expected in [1, 2, 0, 3] {
        held.pop();
        assert!(memory.try_reserve(Owner::RequestBodies, 1).is_none(), "others wait");
        let (n, reservation) = waiting
            .iter_mut()
            .enumerate()
            .find_map(|(n, waiting)| waiting.now_or_never().map(|reservation| (n, reservation)))
            .expect("memory was released");
        assert_eq!(n, expected);
        granted.push(reservation);
        waiting[n] = wait(0.0, u64::MAX); // behind all others
    }
    assert_eq!(memory.waits(), (8, 0));
    drop(waiting);
    assert_eq!(memory.waits(), (8, 4), "given up");
    assert!(memory.try_reserve(Owner::RequestBodies, 1).is_some(), "nothing waits");
}

#[test]
fn reservation_that_is_given_up_lets_a_smaller_one_pass() {
    let memory = accountant();
    let mut held = fill(&memory, Owner::RequestBodies);
    let large = memory.reserve(Owner::RequestBodies, 40 * KIB, priority(2.0, 0));
    let mut small = Box::pin(memory.reserve(Owner::RequestBodies, KIB, priority(1.0, 0)));
    held.pop();
    assert!((&mut small).now_or_never().is_none(), "the large one is first");
    drop(large);
    assert!(small.now_or_never().is_some());
}

#[test]
fn lower_limit_takes_nothing_away_and_higher_limit_lets_waiting_ones_pass() {
    let memory = accountant();
    let held = fill(&memory, Owner::RequestBodies);
    let before = memory.usage();
    memory.set_limit(LIMIT, 2);
    assert_eq!((memory.usage(), held.len() * KIB), (before, before.bodies()));
    let mut waiting = Box::pin(memory.reserve(Owner::RequestBodies, KIB, priority(1.0, 0)));
    assert!((&mut waiting).now_or_never().is_none());
    memory.set_limit(2 * LIMIT, 1);
    assert!(waiting.now_or_never().is_some());
}

#[test]
fn connections_have_memory_for_their_requests_and_are_not_admitted_without() {
    let memory = accountant();
    let client = memory.charge_connection(ConnectionKind::Client);
    let with_client = memory.usage();
    let backend = memory.charge_connection(ConnectionKind::Backend);
    assert_eq!(memory.usage(), with_client, "the client's request paid for it");
    assert!(!memory.has_room_for_backend());
    assert!(memory.has_room_for_client(), "a few are let in in any case");
    let few: Vec<_> =
        (1..MIN_CLIENT_CONNECTIONS).map(|_| memory.charge_connection(ConnectionKind::Client)).collect();
    assert!(!memory.has_room_for_client());
    drop(few);
    assert!(!client.try_charge_buffers() && client.buffer_use() == BufferUse::Short);
    [BufferUse::Reserved, BufferUse::Unreserved].iter().for_each(|buffers| client.charge_buffers(*buffers));
    let grown = memory.usage().of(Owner::ClientConnections) - with_client.of(Owner::ClientConnections);
    assert_eq!(grown, GROWN_BUFFERS_BYTES);
    drop((client, backend));
    assert_eq!(memory.usage().total(), PROGRAM_BYTES + PROCESS_BYTES);
    assert!(memory.peak().total() > with_client.total());
    let endpoints = memory.charge_endpoints();
    endpoints.set(3);
    assert_eq!(memory.usage().of(Owner::Endpoints), 3 * ENDPOINT_BYTES);
    drop(endpoints);
    assert_eq!(memory.usage().of(Owner::Endpoints), 0);
}

/// Guards against requests that wait although the libraries have freed what they held.
#[test]
fn reservation_that_waits_for_what_the_allocator_counts_is_granted_once_that_is_freed() {
    static ALLOCATED: AtomicUsize = AtomicUsize::new(LIMIT);
    let memory = Rc::new(MemoryAccountant::measuring(LIMIT, || ALLOCATED.load(Relaxed)));
    let first = memory.try_reserve(Owner::OpenRequests, 1).expect("the first one is granted in any case");
    let mut waiting = Box::pin(memory.reserve(Owner::OpenRequests, 1, priority(1.0, 1)));
    memory.grant_what_fits();
    assert!((&mut waiting).now_or_never().is_none() && memory.requests_wait());
    ALLOCATED.store(0, Relaxed);
    memory.grant_what_fits();
    assert!(waiting.now_or_never().is_some());
    drop(first);
}

/// One step of a random sequence.
#[derive(Clone, Debug)]
enum Operation {
    Reserve(Owner, usize),
    Wait(Owner, usize, u8),
    Shrink(usize, usize),
    Grow(usize, usize),
    Drop(usize),
    GiveUp(usize),
    Connect,
    Disconnect,
    Limit(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    let owner = prop::sample::select(vec![Owner::RequestHeads, Owner::RequestBodies, Owner::ResponseBodies]);
    prop_oneof![
        (owner.clone(), 1..40_000_usize).prop_map(|(owner, bytes)| Operation::Reserve(owner, bytes)),
        (owner, 1..40_000_usize, 0..3_u8).prop_map(|(owner, bytes, w)| Operation::Wait(owner, bytes, w)),
        (0..9_usize, 0..40_000_usize).prop_map(|(n, bytes)| Operation::Shrink(n, bytes)),
        (0..9_usize, 0..80_000_usize).prop_map(|(n, bytes)| Operation::Grow(n, bytes)),
        (0..9_usize).prop_map(Operation::Drop),
        (0..9_usize).prop_map(Operation::GiveUp),
        Just(Operation::Connect),
        Just(Operation::Disconnect),
        (LIMIT - 60_000..LIMIT + 60_000).prop_map(Operation::Limit),
    ]
}

proptest! {
    /// Whatever happens, what is held is what the reservations and connections say, and a request or response
    /// that got memory although others of its kind had some left the share of the others alone.
    #[test]
    fn usage_is_the_sum_of_what_is_held_and_nothing_waits_for_free_memory(
        operations in prop::collection::vec(operation(), 1..80)
    ) {
        let memory = accountant();
        let (mut held, mut waiting) = (Vec::<Reservation>::new(), Vec::<PendingReservation>::new());
        let mut connections = Vec::new();
        for operation in operations {
            match operation {
                Operation::Reserve(owner, bytes) => {
                    let kind_had_some = memory.usage().of(owner) > 0;
                    if let Some(reservation) = memory.try_reserve(owner, bytes) {
                        held.push(reservation);
                        prop_assert!(!kind_had_some || memory.usage().total() <= memory.assignable());
                    }
                }
                Operation::Wait(owner, bytes, weight) => {
                    waiting.push(memory.reserve(owner, bytes, priority(weight.into(), bytes as u64)));
                }
                Operation::Shrink(n, bytes) => {
                    held.get_mut(n).into_iter().for_each(|reservation| reservation.shrink_to(bytes));
                }
                Operation::Grow(n, bytes) => {
                    held.get_mut(n).into_iter().for_each(|reservation| _ = reservation.try_grow_to(bytes));
                }
                Operation::Drop(n) if n < held.len() => drop(held.remove(n)),
                Operation::GiveUp(n) if n < waiting.len() => drop(waiting.remove(n)),
                Operation::Connect => connections.push(memory.charge_connection(ConnectionKind::Client)),
                Operation::Disconnect => _ = connections.pop(),
                Operation::Limit(limit) => memory.set_limit(limit, 1),
                Operation::Drop(_) | Operation::GiveUp(_) => {}
            }
            let mut still_waiting = Vec::new();
            for mut pending in waiting.drain(..) {
                match (&mut pending).now_or_never() {
                    Some(reservation) => held.push(reservation),
                    None => still_waiting.push(pending),
                }
            }
            waiting = still_waiting;
            let sum: usize = held.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(memory.usage().bodies(), sum);
            for queue in &memory.waiting {
                let first_fits = queue.borrow().first_key_value().is_some_and(|(_, w)| memory.fits(w.owner, w.bytes));
                prop_assert!(!first_fits, "the first one waits although there is memory");
            }
        }
        drop((held, waiting, connections));
        prop_assert_eq!(memory.usage().total(), PROGRAM_BYTES + PROCESS_BYTES);
    }
}
