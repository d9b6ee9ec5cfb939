use super::*;

#[test]
fn addresses_collide_if_the_operating_system_cannot_bind_both() {
    for (a, b, expected) in [
        ("127.0.0.1:80", "127.0.0.1:80", true),
        ("127.0.0.1:80", "127.0.0.1:81", false),
        ("127.0.0.1:80", "127.0.0.2:80", false),
        ("0.0.0.0:80", "127.0.0.1:80", true),
        ("[::ffff:127.0.0.1]:80", "127.0.0.1:80", true),
        ("[::1]:80", "127.0.0.1:80", false),
        ("[::]:80", "127.0.0.1:80", true),
        ("[::]:80", "0.0.0.0:80", true),
        ("0.0.0.0:80", "[::1]:80", false),
    ] {
        let (a, b): (SocketAddr, SocketAddr) = (a.parse().unwrap(), b.parse().unwrap());
        assert_eq!((collide(a, b), collide(b, a)), (expected, expected), "{a} {b}");
    }
}
