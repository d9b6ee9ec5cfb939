use super::*;
use crate::memory::Owner;
use std::rc::Rc;

#[test]
fn gauges_show_each_owner_its_peak_and_what_the_kernel_counts() {
    let memory = Rc::new(MemoryAccountant::new(100_000_000));
    let gauges = MemoryGauges::default();
    let reservation = memory.try_reserve(Owner::RequestBodies, 7_000);
    gauges.publish(&memory);
    drop(reservation);
    gauges.publish(&memory);
    let text = gauges.to_string();
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        line.expect("a figure").parse::<u64>().expect("a number")
    };
    assert_eq!(value("edge.memory_held.request_bodies"), 0);
    assert_eq!(value("edge.memory_peak.request_bodies"), 7_000);
    assert!(value("edge.memory_held.process") > 0 && value("edge.memory_assignable") < 100_000_000);
    assert!(value("edge.memory_resident") > 0);
}
