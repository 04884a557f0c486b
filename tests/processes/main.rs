//! Integration tests with the real processes: the daemons, the operator's tool and the stand-ins.
//!
//! The system chooses the ports, and the tests read them from the output of each process. Tests wait for
//! conditions, with a limit far above the expected time, and never for a fixed time.

mod at_most_once;
mod bad_input;
mod billing;
mod caller;
mod configuration;
mod cut_heads;
mod fake_side;
mod faults;
mod fleet;
mod keys;
mod links;
mod orders;
mod overload;
mod path;
mod spoilt_answers;
#[path = "../../platform/tests/entry/spoilt_forms.rs"]
mod spoilt_forms;
mod stale;
mod stops;
mod streams;
