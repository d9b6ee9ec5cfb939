//! Tests of the fault injector: it is deterministic, and only valid versions name real endpoints.

use super::*;
use std::collections::BTreeSet;

#[test]
fn same_seed_injects_the_same_faults_and_only_valid_versions_name_real_endpoints() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let endpoints = vec![
        ListedEndpoint { name: "a".into(), address: address(1), state: "ready" },
        ListedEndpoint { name: "b".into(), address: address(2), state: "draining" },
    ];
    let valid = EndpointFile { cluster: "cart".into(), endpoints };
    let inject_300 = |name: &str| {
        let path = directory.path().join(name);
        let mut injector = FileFaultInjector::new(&path, 7, address(3));
        let mut done = Vec::new();
        for _ in 0..300 {
            let fault = injector.inject_random(&valid).expect("fault injected");
            let text = fs::read_to_string(&path).unwrap_or_default();
            assert_eq!(text == valid.to_toml(1), fault.is_valid(), "{fault:?}");
            assert!(fault.is_valid() || !text.contains("127.0.0.1:1\""), "{fault:?} names a real endpoint");
            done.push((fault, text));
        }
        done
    };
    let first = inject_300("one");
    let second = inject_300("two");
    assert_eq!(first, second);
    let faults: BTreeSet<_> = first.iter().map(|(fault, _)| fault).collect();
    assert_eq!(faults.len(), FileFault::ALL.len());
}
