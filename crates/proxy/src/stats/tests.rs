use super::*;

#[test]
fn each_request_is_counted_once_however_it_ends() {
    let stats = Arc::new(Stats::new(["view", "book"].into_iter()));
    let mut held: Vec<Taken> = [0, 0, 1, 1, 1].map(|class| stats.take(class)).into();
    held[0].ends(Ended::Ok);
    held[2].ends(Ended::Shed);
    let open = held.pop();
    drop(held); // the second and the fourth without a word
    stats.tried();
    stats.publish(Pool { size: 3, ejected: 1 }, true);
    let text = "edge.ok.view=1\nedge.ok.book=0\nedge.shed.view=0\nedge.shed.book=1\nedge.errors.view=1\n\
            edge.errors.book=1\nedge.tries=1\nedge.active=1\nedge.pool_size=3\nedge.pool_ejected=1\n";
    assert_eq!(stats.to_string(), text);
    drop(open);
    assert!(stats.balanced() && stats.to_string().contains("edge.active=0\n"));
}
