//! The decisions of a sidecar load balancer, without any I/O.
//!
//! A [`Balancer`] receives events ([`Event`]) and returns the actions to carry out ([`Action`]). It has no
//! clock, no threads and no sockets; the same seed and events always give the same actions.
//!
//! ```
//! use olivecart_decisions::{Action, Balancer, Class, EndpointEntry, EndpointUpdate, Event, Settings};
//! use olivecart_decisions::{ClassId, EndpointId, Request, RequestId};
//!
//! let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let list = vec![EndpointEntry::ready(EndpointId(0), "a"), EndpointEntry::ready(EndpointId(1), "b")];
//! balancer.handle(0, Event::Endpoints(EndpointUpdate::Cached(list)), &mut actions);
//! let request = Request::new(RequestId(1), ClassId(0), 400_000_000);
//! balancer.handle(0, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::StartAttempt { request: RequestId(1), .. })));
//! ```

mod admission;
mod balancer;
mod capacity;
mod endpoint;
mod endpoint_list;
mod endpoint_selection;
mod event;
mod ewma;
mod health_check;
mod id;
mod idle_connections;
mod in_flight;
mod latency_estimate;
mod learned_state;
mod outlier_detection;
mod request_queue;
mod retry_policy;
mod settings;
mod slow_start;
mod status_view;

pub use balancer::Balancer;
pub use event::*;
pub use id::*;
pub use learned_state::LearnedState;
pub use settings::*;
pub use status_view::EndpointStatus;

/// Compiles and runs the README's example with the doctests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
