use super::start::parse_list;
use super::*;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use olivecart_settings::Site;
use slog::{Discard, o};

#[test]
fn endpoint_detached_by_another_process_is_ejected_once_it_is_listed() {
    let settings = r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;
    let config = ClustersConfig {
        site: Rc::new(RefCell::new(Site::read(settings).expect("settings"))),
        clock: Clock::start(),
        seed: 0,
        descriptors: Rc::new(Descriptors::new(1, Rc::default())),
        discovery: None,
        cached_list: None,
        routing: Routing::default(),
        memory: Rc::default(),
        stats: None,
        taken_over: None,
    };
    let server = |id| format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","state":"ready","zone":"z"}}"#);
    let list = format!(r#"{{"version":2,"full":true,"servers":[{},{}]}}"#, server("a"), server("b"));
    actix_rt::System::new().block_on(async {
        let clusters = Clusters::start(config, &Logger::root(Discard, o!()));
        clusters.apply_forwarded_admin_request(&AdminRequest::Detach("a".into()));
        let runtime = clusters.platform_cluster.as_ref().expect("the platform's own cluster");
        runtime.start_from_cached_list(&parse_list(Some(&list), &clusters.log));
        assert_eq!(clusters.pool(), Pool { size: 2, ejected: 1 });
    });
}
