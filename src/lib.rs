//! Admission, routing and load shedding of a call controller at the edge of a network with a few central call
//! servers.
//!
//! [`Controller`] is a state machine without I/O: the access node passes it events with the present time, and
//! the controller returns actions. It has no clock, threads or global state; the same seed and events give
//! the same actions.
//!
//! ```
//! use steprelay_decisions::*;
//!
//! let settings = Settings {
//!     group_size: 1,
//!     classes: vec![Class { slo: 1_500_000, importance: 1.0, is_idempotent: true, ..Class::default() }],
//!     ..Settings::default()
//! };
//! let mut controller = Controller::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let list = [Entry { server: ServerId(40), started: None, number: 0, state: Readiness::Ready }];
//! controller.handle(0, Event::ServerList { kind: ListKind::All, entries: &list }, &mut actions);
//! actions.clear();
//! let call = Call {
//!     id: CallId(1), class: 0, tenant: 0, dest: 0, called_number: "line-1".into(), remaining: 3_000_000,
//!     is_redial: false, was_cut: false, is_in_transit: false,
//! };
//! controller.handle(1_000, Event::Call(call), &mut actions);
//! assert!(matches!(actions[0], Action::Send { call: CallId(1), server: ServerId(40), .. }));
//! ```

mod controller;
mod interface;
mod measure;
mod numbers;

pub use controller::Controller;
pub use interface::*;
