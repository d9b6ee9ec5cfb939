use super::*;

/// Idle connections of one endpoint.
struct IdleEndpoint(RefCell<Vec<ConnectionPermit>>);

impl IdleConnectionPool for IdleEndpoint {
    fn max_idle_per_endpoint(&self) -> usize {
        self.0.borrow().len()
    }

    fn close_longest_idle(&self) {
        self.0.borrow_mut().remove(0);
    }
}

#[test]
fn pool_with_the_most_idle_connections_closes_one_at_the_limit() {
    let descriptors = Descriptors::new(5, Rc::default());
    let pools = [2, 3].map(|n| {
        let idle = (0..n).map(|_| descriptors.acquire().expect("below the limit")).collect();
        let pool = Rc::new(IdleEndpoint(RefCell::new(idle)));
        let weak: Weak<dyn IdleConnectionPool> = Rc::downgrade(&pool) as _;
        descriptors.register(weak);
        pool
    });
    let idle_counts = || pools.each_ref().map(|pool| pool.max_idle_per_endpoint());
    let mut busy = vec![descriptors.acquire().expect("the second pool closes one")];
    assert_eq!((idle_counts(), descriptors.open()), ([2, 2], 5));
    busy.extend((0..4).map(|_| descriptors.acquire().expect("one of the pools closes one")));
    assert_eq!((idle_counts(), descriptors.open()), ([0, 0], 5));
    assert!(descriptors.acquire().is_none(), "all connections are in use");
    busy.pop();
    assert!(descriptors.acquire().is_some());
    descriptors.set_limit(3);
    assert!(descriptors.acquire().is_none());
}
