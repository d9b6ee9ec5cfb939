use super::*;

#[test]
fn two_processes_hold_no_more_descriptors_than_one_may_have() {
    for sockets in [208, 256, 384, 1024] {
        let limits = Limits { sockets, ..Limits::default() };
        let part = divide_descriptors(&limits, console::MOST_CONNECTIONS).expect("enough").part(2);
        let each = RESERVED_DESCRIPTORS + console::MOST_CONNECTIONS + part.clients + part.backends;
        assert!(2 * each <= sockets, "{sockets}: {each} each");
    }
}
