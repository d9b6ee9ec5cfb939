//! The table of instances. Dispatches each event of a batch to its instance and collects the orders that
//! result.

use crate::error::{BatchError, InstanceError};
use crate::instance::{Catalogs, Instance, catch_panic};
use crate::wire::{Batch, Catalog, Configure, Element, Order, WireEvent};
use olivecart_decisions::{Action, Event, Nanos};
use std::collections::BTreeMap;

/// All instances of this process. They share only the catalogs that the simulator sent.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    catalogs: Catalogs,
    /// The actions that result from one event; empty between events.
    actions: Vec<Action>,
}

impl Host {
    /// Processes one batch and adds the resulting orders to `orders`.
    ///
    /// # Errors
    /// Returns the error of the first event that failed. The events before it were processed.
    pub fn process_batch(&mut self, batch: Batch, orders: &mut Vec<Order>) -> Result<(), BatchError> {
        for event in batch.events {
            self.process_event(batch.now_ns, event, orders)?;
        }
        Ok(())
    }

    fn process_event(
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
            WireEvent::Membership(event) => self.dispatch(event.instance, now, orders, |instance, lists| {
                instance.translate_membership(&event, lists)
            }),
            WireEvent::Incoming(event) => {
                self.dispatch(event.instance, now, orders, |instance, _| instance.translate_incoming(event))
            }
            WireEvent::Ring { instance, cookie } => {
                self.dispatch(instance, now, orders, |_, _| Ok(Some(Instance::translate_timer(cookie))))
            }
            WireEvent::PeerData(event) => self.dispatch(event.instance, now, orders, |_, _| {
                Instance::translate_peer_data(&event).map(Some)
            }),
            WireEvent::Response(event) => {
                self.dispatch(event.instance, now, orders, |instance, _| instance.translate_response(event))
            }
            WireEvent::Aborted(event) => self
                .dispatch(event.instance, now, orders, |instance, _| Ok(instance.translate_aborted(&event))),
            WireEvent::Health(event) => {
                self.dispatch(event.instance, now, orders, |instance, _| instance.translate_health(event))
            }
            WireEvent::ResponseStarted(event) => self.dispatch(event.instance, now, orders, |instance, _| {
                Ok(instance.translate_response_started(&event))
            }),
        }
    }

    fn add_catalog(&mut self, catalog: Catalog) {
        let elements = catalog.elements.into_iter().map(Element::into_owned).collect();
        self.catalogs.insert(catalog.set_id, elements);
    }

    fn start_instance(&mut self, now: Nanos, configure: &Configure) -> Result<(), BatchError> {
        let id = configure.instance;
        let started = catch_panic(|| Instance::new(configure.settings.get(), configure.seed, now));
        let instance =
            started.and_then(|instance| instance).map_err(|error| BatchError { instance: id, error })?;
        self.instances.insert(id, instance);
        Ok(())
    }

    /// Passes an event to an instance. `translate` converts it to an event of the decision module. Events for
    /// an instance that is not running are ignored: they were sent before it was killed.
    fn dispatch(
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
            orders.push(instance.translate_action(id, action).map_err(failed)?);
        }
        Ok(())
    }
}
