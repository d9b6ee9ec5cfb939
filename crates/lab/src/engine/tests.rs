use super::*;

/// Nodes that hand tokens on at random (PHOLD), and note what they saw.
struct Phold {
    nodes: u32,
    most_events: u64,
    split: u64,
}

struct Node {
    state: u64,
    seen: u64,
}

impl Model for Phold {
    type Node = Node;
    type Message = u64;
    type Post = u64;
    type Local = u64;
    type Rest = Vec<(u32, u64, u64)>;

    fn nodes(&self) -> u32 {
        self.nodes
    }
    fn lookahead(&self) -> Nanos {
        100
    }
    fn end(&self) -> Nanos {
        200_000
    }
    fn local(&self) -> u64 {
        0
    }
    fn node(&self, id: u32, _: &mut u64, out: &mut Outbox<Self>) -> Node {
        out.wake(u64::from(id) % 7, u64::from(id));
        Node { state: u64::from(id) + 1, seen: 0 }
    }
    fn handle(&self, node: &mut Node, now: Nanos, token: u64, heard: &mut u64, out: &mut Outbox<Self>) {
        assert_ne!(token, u64::MAX, "a token that must not be");
        let mix = |a: u64, b: u64| (a ^ b).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29);
        node.state = mix(node.state, token ^ now);
        node.seen = mix(node.seen, node.state ^ *heard);
        if node.state.is_multiple_of(50) {
            out.post(1);
        }
        if node.state.is_multiple_of(3) {
            out.wake(now + node.state % 5, node.state >> 1); // often at once
        } else {
            out.send((node.state >> 20) as u32 % self.nodes, now + 100 + node.state % 400, node.state >> 1);
        }
        if self.split > 0 && node.state.is_multiple_of(self.split) {
            out.wake(now + 50, token);
        }
    }
    fn heard(&self, post: u64, heard: &mut u64) {
        *heard += post;
    }
    fn open(&self, _: &u64) -> u64 {
        0
    }
    fn most_open(&self) -> u64 {
        u64::MAX
    }
    fn most_events(&self) -> u64 {
        self.most_events
    }
    fn finish(&self, nodes: Vec<(u32, Node)>, heard: u64) -> Self::Rest {
        nodes.into_iter().map(|(id, node)| (id, node.seen, heard)).collect()
    }
}

fn seen(threads: usize) -> (Vec<(u32, u64, u64)>, u64, u64) {
    let played = play(&Phold { nodes: 37, most_events: 10_000, split: 0 }, threads).expect("it ends");
    let mut all: Vec<_> = played.rest.into_iter().flatten().collect();
    all.sort_unstable();
    (all, played.events, played.windows)
}

#[test]
fn any_number_of_threads_sees_the_same_events_in_the_same_order() {
    let one = seen(1);
    assert!(one.1 > 10_000, "{} events", one.1);
    for threads in [2, 3, 8] {
        assert_eq!(seen(threads), one, "on {threads} threads");
    }
}

#[test]
fn a_run_that_would_need_more_memory_stops_and_says_so() {
    for threads in [1, 4] {
        let error = play(&Phold { nodes: 37, most_events: 500, split: 2 }, threads).err();
        assert!(matches!(error, Some(EngineError::Events { most: 500, .. })), "{error:?}");
    }
}

struct Bomb(Phold);

impl Model for Bomb {
    type Node = u32;
    type Message = ();
    type Post = ();
    type Local = ();
    type Rest = ();

    fn nodes(&self) -> u32 {
        self.0.nodes
    }
    fn lookahead(&self) -> Nanos {
        10
    }
    fn end(&self) -> Nanos {
        100_000
    }
    fn local(&self) {}
    fn node(&self, id: u32, _: &mut (), out: &mut Outbox<Self>) -> u32 {
        out.wake(1, ());
        id
    }
    fn handle(&self, node: &mut u32, now: Nanos, _: (), _: &mut (), out: &mut Outbox<Self>) {
        assert!(*node != 5 || now < 500, "node 5 breaks");
        out.wake(now + 7, ());
    }
    fn heard(&self, _: (), _: &mut ()) {}
    fn open(&self, _: &()) -> u64 {
        0
    }
    fn most_open(&self) -> u64 {
        u64::MAX
    }
    fn most_events(&self) -> u64 {
        u64::MAX
    }
    fn finish(&self, _: Vec<(u32, u32)>, _: ()) {}
}

#[test]
fn a_node_that_panics_ends_the_run_on_all_threads_with_its_message() {
    for threads in [1, 3] {
        let error = play(&Bomb(Phold { nodes: 9, most_events: 0, split: 0 }), threads).err();
        assert_eq!(error, Some(EngineError::Panic("node 5 breaks".into())), "on {threads} threads");
    }
}
