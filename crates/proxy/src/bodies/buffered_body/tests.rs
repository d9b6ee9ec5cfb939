use super::*;

#[test]
fn parts_are_joined_and_single_part_is_not_copied() {
    let one = Bytes::from(vec![b'a'; 9]);
    let mut gathered = BufferedBody::default();
    gathered.push(one.clone());
    assert_eq!(gathered.bytes().as_ptr(), one.as_ptr());
    let mut gathered = BufferedBody::default();
    ["", "ab", "", "c", "de"].iter().for_each(|part| gathered.push(Bytes::from_static(part.as_bytes())));
    assert_eq!((gathered.len(), gathered.bytes()), (5, Bytes::from_static(b"abcde")));
}
