//! Tests with the real processes: the daemons, the operator's tool and the stand-ins.
//!
//! Ports are chosen by the system and read from what each process prints. Tests wait for
//! conditions, with a bound far above what is expected, and never for a fixed time.

mod at_most_once;
mod bad_input;
mod billing;
mod caller;
mod configuration;
mod fake_side;
mod faults;
mod fleet;
mod keys;
mod orders;
mod overload;
mod path;
mod stale;
mod stops;
mod streams;
