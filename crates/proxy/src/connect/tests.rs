use super::*;

#[test]
fn local_errors_are_distinguished_from_unreachable_endpoints() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let failed = |errno: Errno| ConnectFailure::of(addr, errno.into());
    for errno in [
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NETUNREACH,
        Errno::INTR,
    ] {
        assert!(matches!(failed(errno), ConnectFailure::Local(..)), "{errno}");
    }
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNREFUSED, Errno::CONNRESET] {
        assert!(matches!(failed(errno), ConnectFailure::Unreachable(..)), "{errno}");
    }
    let text = failed(Errno::MFILE).to_string();
    assert!(text.contains("127.0.0.1:9"), "{text}");
    assert!(matches!(
        ConnectFailure::of(addr, io::Error::other("no errno")),
        ConnectFailure::Unreachable(..)
    ));
}
