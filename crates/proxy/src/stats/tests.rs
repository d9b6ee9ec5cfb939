use super::*;

#[test]
fn each_request_is_counted_once_by_its_result() {
    let stats = Arc::new(Stats::new(["view", "book"].into_iter()));
    let mut active: Vec<ActiveRequest> = [0, 0, 1, 1, 1].map(|class| stats.count_request(class)).into();
    active[0].set_result(RequestResult::Ok);
    active[2].set_result(RequestResult::Shed);
    let open = active.pop();
    drop(active); // the second and the fourth end without a result
    stats.count_attempt();
    stats.publish(Pool { size: 3, ejected: 1 }, true);
    let text = "edge.ok.view=1\nedge.ok.book=0\nedge.shed.view=0\nedge.shed.book=1\nedge.errors.view=1\n\
            edge.errors.book=1\nedge.tries=1\nedge.active=1\nedge.pool_size=3\nedge.pool_ejected=1\n";
    assert_eq!(stats.to_string(), text);
    drop(open);
    assert!(stats.is_balanced() && stats.to_string().contains("edge.active=0\n"));
}
