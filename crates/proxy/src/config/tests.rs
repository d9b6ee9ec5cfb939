use super::*;

#[test]
fn two_processes_together_stay_within_the_descriptor_limit() {
    for sockets in [208, 256, 384, 1024] {
        let limits = Limits { sockets, ..Limits::default() };
        let part = divide_descriptors(&limits, console::MAX_CONNECTIONS).expect("enough").part(2);
        let each = RESERVED_DESCRIPTORS + console::MAX_CONNECTIONS + part.clients + part.backends;
        assert!(2 * each <= sockets, "{sockets}: {each} each");
    }
}
