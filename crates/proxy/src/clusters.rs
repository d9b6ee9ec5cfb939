//! All clusters of the proxy: the platform's own, and those that the operators' sources bring.

use crate::clock::Clock;
use crate::config::{Changes, Config};
use crate::descriptors::Descriptors;
use crate::driver::{Driver, Shared};
use crate::membership::News;
use crate::operators::{Operators, REGISTRY, Rules};
use crate::platform::registry;
use crate::stages::choose::Routes;
use olivecart_settings::Site;
use slog::{Logger, warn};
use std::cell::RefCell;
use std::rc::Rc;

/// All clusters, and the way of a request to one.
pub struct Clusters {
    /// The rules, and what of each cluster the stages need.
    pub routes: Rc<Routes>,
    /// Settings and names.
    pub site: Rc<RefCell<Site>>,
    shared: Rc<Shared>,
    /// The platform's own; none if the operators lead nothing there.
    registry: Option<Rc<Driver>>,
}

impl Clusters {
    /// Starts the platform's own cluster with the list as it was last known. Those of sources come with
    /// their sources' news.
    ///
    /// Weighed against putting the registry through the catalog too: its watch and its lists are part of the
    /// decisions' interface (they say when to ask and judge its silence), and without an operators' file it
    /// must stay what it is. So it is a cluster beside the catalog's, which rules can lead to.
    pub fn start(config: Config, log: &Logger) -> Clusters {
        let site = Rc::new(RefCell::new(config.site));
        let shared = Rc::new(Shared {
            clock: Clock::start(),
            site: site.clone(),
            book: Rc::default(),
            descriptors: Rc::new(Descriptors::new(config.sockets.backends)),
        });
        let (named, rules) = match config.operators {
            Some(Operators { .. }) | None => (vec![Rc::from(REGISTRY)], Rules::default()),
        };
        let routes = Rc::new(Routes::new(named, rules));
        let settings = site.borrow().settings.clone();
        let registry = routes.place(REGISTRY).map(|place| {
            let driver = Driver::start(&shared, settings, config.seed, Some(config.discovery), log.clone());
            place.serve(driver.context.clone());
            driver
        });
        if let Some(driver) = &registry {
            driver.follow(&known(config.known.as_deref(), log));
        }
        Clusters { routes, site, shared, registry }
    }

    /// Another address of discovery's, and other shares of the descriptors, hold from now on.
    pub fn adopt(&self, changes: &Changes) {
        self.shared.descriptors.adopt(changes.sockets.backends);
        self.registry.iter().for_each(|driver| driver.adopt(changes.discovery));
    }
}

/// The list as this proxy last had it.
fn known<'a>(text: Option<&'a str>, log: &Logger) -> News<'a> {
    match text.map(|text| registry::read(text.as_bytes())) {
        Some(Ok(news)) => news,
        Some(Err(e)) => {
            warn!(log, "the known list is unreadable and taken as empty"; "known" => %e);
            News::nothing()
        }
        None => News::nothing(),
    }
}
