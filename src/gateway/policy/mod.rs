//! Decisions of a forwarding entry: which endpoint gets a request, whether a request is admitted,
//! and how often it is retried. Each module names the load pattern that it handles.
//!
//! Nothing here reads a clock or opens a socket: all state and the time are passed in.

pub mod admission;
pub mod backoff;
pub mod budget;
pub mod call_limit;
pub mod call_queue;
pub mod choose;
pub mod engine_memory;
pub mod engine_times;
pub mod event_gaps;
pub mod gap_forecast;
pub mod health;
pub mod limits;
pub mod load;
pub mod load_estimate;
pub mod outage;
pub mod prefill;
pub mod prefix_index;
pub mod quarantine;
pub mod slow_readers;
pub mod warmup;
pub mod work_duration;

pub use crate::durations;
