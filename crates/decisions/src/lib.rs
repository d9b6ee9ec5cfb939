//! The decisions of a sidecar load balancer, without any I/O.
//!
//! A [`Balancer`] is told what happens ([`Event`]) and answers with what to do ([`Action`]). It has no
//! clock, no threads and no sockets; the same events always give the same actions.
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

mod decayed;
mod interface;
mod logic;

pub use interface::*;
pub use logic::{Balancer, EndpointStatus, LearnedState};

/// The README's example is compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
