use super::*;

#[test]
fn chunks_are_joined_and_single_chunk_is_not_copied() {
    let chunk = Bytes::from(vec![b'a'; 9]);
    let mut buffered = BufferedBody::default();
    buffered.push(chunk.clone());
    assert_eq!(buffered.bytes().as_ptr(), chunk.as_ptr());
    let mut buffered = BufferedBody::default();
    ["", "ab", "", "c", "de"].iter().for_each(|chunk| buffered.push(Bytes::from_static(chunk.as_bytes())));
    assert_eq!((buffered.len(), buffered.bytes()), (5, Bytes::from_static(b"abcde")));
}
