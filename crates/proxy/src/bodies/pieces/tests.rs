use super::*;
use crate::memory::{MemoryAccountant, Owner};
use std::rc::Rc;

#[test]
fn body_is_passed_on_in_pieces_and_its_memory_is_released_with_the_last_one() {
    let memory = Rc::new(MemoryAccountant::default());
    let bytes: Vec<u8> = (0..2 * PIECE_BYTES + 1).map(|n| (n % 251) as u8).collect();
    let reservation = memory.try_reserve(Owner::ResponseBodies, bytes.len());
    let mut pieces = Pieces::new(bytes.clone().into(), reservation);
    assert_eq!(pieces.size(), BodySize::Sized(bytes.len() as u64));
    let mut received = Vec::new();
    for length in [PIECE_BYTES, PIECE_BYTES, 1] {
        assert!(memory.usage().of(Owner::ResponseBodies) > 0);
        let piece = pieces.next_piece().expect("not the end");
        assert_eq!(piece.len(), length);
        received.extend_from_slice(&piece);
    }
    assert!(received == bytes && pieces.next_piece().is_none() && pieces.len() == 0);
    assert_eq!(memory.usage().of(Owner::ResponseBodies), 0);
}
