//! Tests of the engine with a random model, with one that exceeds its limits, and with one that panics.

use super::*;

/// The PHOLD benchmark model: nodes forward tokens at random and hash what they receive.
struct Phold {
    nodes: u32,
    max_pending_events: u64,
    split: u64,
}

struct Node {
    state: u64,
    seen: u64,
}

impl Model for Phold {
    type Node = Node;
    type Message = u64;
    type Broadcast = u64;
    type ThreadState = u64;
    type ThreadOutput = Vec<(u32, u64, u64)>;

    fn node_count(&self) -> u32 {
        self.nodes
    }
    fn lookahead(&self) -> Nanos {
        100
    }
    fn end_time(&self) -> Nanos {
        200_000
    }
    fn thread_state(&self) -> u64 {
        0
    }
    fn create_node(&self, id: u32, _: &mut u64, outbox: &mut Outbox<Self>) -> Node {
        outbox.schedule(u64::from(id) % 7, u64::from(id));
        Node { state: u64::from(id) + 1, seen: 0 }
    }
    fn handle(&self, node: &mut Node, now: Nanos, token: u64, received: &mut u64, outbox: &mut Outbox<Self>) {
        assert_ne!(token, u64::MAX, "invalid token");
        let mix = |a: u64, b: u64| (a ^ b).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29);
        node.state = mix(node.state, token ^ now);
        node.seen = mix(node.seen, node.state ^ *received);
        if node.state.is_multiple_of(50) {
            outbox.broadcast(1);
        }
        if node.state.is_multiple_of(3) {
            outbox.schedule(now + node.state % 5, node.state >> 1); // often due at the same time
        } else {
            outbox.send(
                (node.state >> 20) as u32 % self.nodes,
                now + 100 + node.state % 400,
                node.state >> 1,
            );
        }
        if self.split > 0 && node.state.is_multiple_of(self.split) {
            outbox.schedule(now + 50, token);
        }
    }
    fn receive_broadcast(&self, broadcast: u64, received: &mut u64) {
        *received += broadcast;
    }
    fn open_requests(&self, _: &u64) -> u64 {
        0
    }
    fn max_open_requests(&self) -> u64 {
        u64::MAX
    }
    fn max_pending_events(&self) -> u64 {
        self.max_pending_events
    }
    fn finish(&self, nodes: Vec<(u32, Node)>, received: u64) -> Self::ThreadOutput {
        nodes.into_iter().map(|(id, node)| (id, node.seen, received)).collect()
    }
}

fn seen(threads: usize) -> (Vec<(u32, u64, u64)>, u64, u64) {
    let outcome = run(&Phold { nodes: 37, max_pending_events: 10_000, split: 0 }, threads).expect("no error");
    let mut all: Vec<_> = outcome.outputs.into_iter().flatten().collect();
    all.sort_unstable();
    (all, outcome.events, outcome.windows)
}

#[test]
fn results_are_the_same_on_any_number_of_threads() {
    let one = seen(1);
    assert!(one.1 > 10_000, "{} events", one.1);
    for threads in [2, 3, 8] {
        assert_eq!(seen(threads), one, "on {threads} threads");
    }
}

#[test]
fn run_stops_with_an_error_when_too_many_events_are_pending() {
    for threads in [1, 4] {
        let error = run(&Phold { nodes: 37, max_pending_events: 500, split: 2 }, threads).err();
        assert!(matches!(error, Some(EngineError::TooManyEvents { limit: 500, .. })), "{error:?}");
    }
}

struct PanickingModel(Phold);

impl Model for PanickingModel {
    type Node = u32;
    type Message = ();
    type Broadcast = ();
    type ThreadState = ();
    type ThreadOutput = ();

    fn node_count(&self) -> u32 {
        self.0.nodes
    }
    fn lookahead(&self) -> Nanos {
        10
    }
    fn end_time(&self) -> Nanos {
        100_000
    }
    fn thread_state(&self) {}
    fn create_node(&self, id: u32, _: &mut (), outbox: &mut Outbox<Self>) -> u32 {
        outbox.schedule(1, ());
        id
    }
    fn handle(&self, node: &mut u32, now: Nanos, _: (), _: &mut (), outbox: &mut Outbox<Self>) {
        assert!(*node != 5 || now < 500, "node 5 breaks");
        outbox.schedule(now + 7, ());
    }
    fn receive_broadcast(&self, _: (), _: &mut ()) {}
    fn open_requests(&self, _: &()) -> u64 {
        0
    }
    fn max_open_requests(&self) -> u64 {
        u64::MAX
    }
    fn max_pending_events(&self) -> u64 {
        u64::MAX
    }
    fn finish(&self, _: Vec<(u32, u32)>, _: ()) {}
}

#[test]
fn panic_of_a_node_ends_the_run_on_all_threads_with_its_message() {
    for threads in [1, 3] {
        let error = run(&PanickingModel(Phold { nodes: 9, max_pending_events: 0, split: 0 }), threads).err();
        assert_eq!(error, Some(EngineError::Panic("node 5 breaks".into())), "on {threads} threads");
    }
}
