use super::*;

/// Idle connections of one endpoint.
struct Idle(RefCell<Vec<Open>>);

impl Holder for Idle {
    fn most_idle(&self) -> usize {
        self.0.borrow().len()
    }

    fn give_up(&self) {
        self.0.borrow_mut().remove(0);
    }
}

#[test]
fn of_all_clusters_the_one_with_most_to_spare_makes_room() {
    let budget = Descriptors::new(5);
    let holders = [2, 3].map(|n| {
        let idle = (0..n).map(|_| budget.take().expect("room")).collect();
        let holder = Rc::new(Idle(RefCell::new(idle)));
        let weak: Weak<dyn Holder> = Rc::downgrade(&holder) as _;
        budget.enter(weak);
        holder
    });
    let left = || holders.each_ref().map(|h| h.most_idle());
    let mut busy = vec![budget.take().expect("the second makes room")];
    assert_eq!((left(), budget.open()), ([2, 2], 5));
    busy.extend((0..4).map(|_| budget.take().expect("one of them makes room")));
    assert_eq!((left(), budget.open()), ([0, 0], 5));
    assert!(budget.take().is_none(), "all are in work");
    busy.pop();
    assert!(budget.take().is_some());
    budget.adopt(3);
    assert!(budget.take().is_none());
}
