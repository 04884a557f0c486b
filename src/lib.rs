//! briarwinch routes language-model traffic with service levels and priorities.
//!
//! Callers send requests to an *entry*. The entry asks a few *sides* (one process next to each endpoint
//! instance) for their expected time to first token and submits the request to the best one. The side's
//! queue decides what runs next. Durable state is kept in the platform's object API; a daemon learns
//! everything else from its peers. `docs/DESIGN.md` describes the whole design.
//!
//! ```
//! let text = r#"{
//!     "classes": { "lookup": { "latency_target_ms": 800, "priority": 3 } },
//!     "services": { "loket": { "kind": "plain", "default_class": "lookup" } },
//!     "accounts": { "court": { "share": 2 } },
//! }"#;
//! let config = briarwinch::config::Config::parse(text)?;
//! assert_eq!(config.services.len(), 1);
//! # Ok::<(), briarwinch::jsonc::Error>(())
//! ```

pub mod admin;
pub mod admission;
pub mod answer;
pub mod billing;
pub mod body;
pub mod body_allowance;
pub mod caller_connections;
pub mod caller_limits;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod daemon;
pub mod drain;
pub mod durations;
pub mod duties;
pub mod entry;
pub mod error;
pub mod event_splitter;
pub mod explain;
pub mod fairness;
pub mod gateway;
pub mod gossip;
pub mod head_timer;
pub mod hub;
pub mod jsonc;
pub mod keys;
pub mod latency;
pub mod lease;
pub mod lease_io;
pub mod link;
pub mod logging;
pub mod membership;
pub mod metric;
pub mod openai;
pub mod operator;
pub mod orders;
pub mod placement;
pub mod platform;
pub mod queue;
pub mod raw_json;
pub mod retry;
pub mod scaler;
pub mod scaling;
pub mod seal;
pub mod set_aside;
pub mod settings;
pub mod side;
pub mod sockets;
pub mod sse;
pub mod store;
pub mod story;
pub mod trace;
pub mod usage;
pub mod wire;
