use super::*;

fn digest(parts: &[&[u8]]) -> Option<ResponseDigest> {
    let mut builder = DigestBuilder::default();
    builder.push(b"another response");
    builder.reset();
    parts.iter().for_each(|part| builder.push(part));
    builder.digest()
}

#[test]
fn digest_depends_on_the_bytes_and_not_on_the_parts_in_which_they_arrive() {
    assert_eq!(digest(&[b"HTTP/1.1 200 OK", b"\r\n\r\n"]), digest(&[b"HTTP/1.1", b" 200 OK\r\n\r", b"\n"]));
    assert_ne!(digest(&[b"ab"]), digest(&[b"ac"]));
    assert_ne!(digest(&[b"a"]), digest(&[b"aa"]));
    assert_eq!(digest(&[b"abc"]).map(ResponseDigest::length), Some(3));
}

#[test]
fn long_responses_have_no_digest() {
    let longest = vec![0; MAX_DIGESTED_BYTES];
    assert!(digest(&[&longest]).is_some());
    assert!(digest(&[&longest, b"x"]).is_none());
}
