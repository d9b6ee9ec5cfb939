//! The table of instances: gives each event of a batch to its instance and collects what the instances want done.

use crate::error::{BatchError, InstanceError};
use crate::instance::{Catalogs, Instance, guarded};
use crate::wire::{Batch, Catalog, Configure, Element, Order, WireEvent};
use olivecart_decisions::{Action, Event, Nanos};
use std::collections::BTreeMap;

/// All instances of this process. They share nothing but the catalogs of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    catalogs: Catalogs,
    /// The actions of one event; empty between events.
    actions: Vec<Action>,
}

impl Host {
    /// Plays one batch and adds to `orders` what the instances decide.
    ///
    /// # Errors
    /// The first event that could not be played; those before it were.
    pub fn play(&mut self, batch: Batch, orders: &mut Vec<Order>) -> Result<(), BatchError> {
        for event in batch.events {
            self.play_event(batch.now_ns, event, orders)?;
        }
        Ok(())
    }

    fn play_event(
        &mut self,
        now: Nanos,
        event: WireEvent,
        orders: &mut Vec<Order>,
    ) -> Result<(), BatchError> {
        match event {
            WireEvent::Catalog(catalog) => {
                self.add_catalog(catalog);
                Ok(())
            }
            WireEvent::Configure(configure) => self.start_instance(now, &configure),
            WireEvent::Detach { instance } => {
                self.instances.remove(&instance);
                Ok(())
            }
            WireEvent::Membership(event) => self
                .deliver(event.instance, now, orders, |instance, lists| instance.membership(&event, lists)),
            WireEvent::Incoming(event) => {
                self.deliver(event.instance, now, orders, |instance, _| instance.incoming(event))
            }
            WireEvent::Ring { instance, cookie } => {
                self.deliver(instance, now, orders, |_, _| Ok(Some(Instance::timer_fired(cookie))))
            }
            WireEvent::PeerData(event) => {
                self.deliver(event.instance, now, orders, |_, _| Instance::peer_data(&event).map(Some))
            }
            WireEvent::Response(event) => {
                self.deliver(event.instance, now, orders, |instance, _| instance.response(event))
            }
            WireEvent::Aborted(event) => {
                self.deliver(event.instance, now, orders, |instance, _| Ok(instance.aborted(&event)))
            }
            WireEvent::Health(event) => {
                self.deliver(event.instance, now, orders, |instance, _| instance.health(event))
            }
            WireEvent::ResponseStarted(event) => {
                self.deliver(event.instance, now, orders, |instance, _| Ok(instance.response_started(&event)))
            }
        }
    }

    fn add_catalog(&mut self, catalog: Catalog) {
        let elements = catalog.elements.into_iter().map(Element::into_owned).collect();
        self.catalogs.insert(catalog.set_id, elements);
    }

    fn start_instance(&mut self, now: Nanos, configure: &Configure) -> Result<(), BatchError> {
        let id = configure.instance;
        let started = guarded(|| Instance::new(configure.settings.get(), configure.seed, now));
        let instance =
            started.and_then(|instance| instance).map_err(|error| BatchError { instance: id, error })?;
        self.instances.insert(id, instance);
        Ok(())
    }

    /// Has one instance handle an event, which `translate` puts in the terms of the decisions. Events for an instance
    /// that is not running are left over from before it was killed and mean nothing.
    fn deliver(
        &mut self,
        id: u64,
        now: Nanos,
        orders: &mut Vec<Order>,
        translate: impl FnOnce(&mut Instance, &Catalogs) -> Result<Option<Event>, InstanceError>,
    ) -> Result<(), BatchError> {
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(()) };
        let failed = |error| BatchError { instance: id, error };
        if let Some(event) = translate(instance, &self.catalogs).map_err(failed)? {
            instance.handle(now, event, &mut self.actions).map_err(failed)?;
        }
        for action in self.actions.drain(..) {
            orders.push(instance.order(id, action).map_err(failed)?);
        }
        Ok(())
    }
}
