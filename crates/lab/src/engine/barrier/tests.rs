//! Tests of the barrier under contention and after it is broken.

use super::*;

#[test]
fn no_thread_passes_before_all_have_arrived() {
    let barrier = Barrier::new(4);
    let count = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for round in 1..=500 {
                    count.fetch_add(1, Ordering::Relaxed);
                    assert!(barrier.wait());
                    assert_eq!(count.load(Ordering::Relaxed), 4 * round);
                    assert!(barrier.wait());
                }
            });
        }
    });
}

#[test]
fn waiting_threads_return_false_once_the_barrier_is_broken() {
    let barrier = Barrier::new(3);
    std::thread::scope(|scope| {
        let waiting: Vec<_> = (0..2).map(|_| scope.spawn(|| barrier.wait())).collect();
        barrier.break_barrier();
        assert!(waiting.into_iter().all(|thread| !thread.join().expect("the thread does not panic")));
    });
    assert!(!barrier.wait(), "the barrier stays broken");
}
