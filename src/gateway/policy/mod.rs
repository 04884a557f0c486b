//! Decisions of a forwarding entry, each with the load pattern that it answers: which endpoint, whether
//! at all, how often again. No clock and no socket: all that is known, and the time, come in.

pub mod admission;
pub mod backoff;
pub mod budget;
pub mod choose;
pub mod health;
pub mod limits;
pub mod load;
pub mod outage;
pub mod pauses;
pub mod prefill;
pub mod prefix_index;
pub mod warmup;
