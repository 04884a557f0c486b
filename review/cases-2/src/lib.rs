//! What the scripts of the second review share: the project's stand-ins, and the record of a run.

#![allow(dead_code, reason = "each script uses a part of the stand-ins")]

#[path = "../../../platform/tests/entry/caller.rs"]
pub mod caller;
#[path = "../../../platform/tests/entry/endpoint.rs"]
pub mod endpoint;
#[path = "../../../platform/tests/entry/engine.rs"]
pub mod engine;
#[path = "../../../platform/tests/entry/http.rs"]
pub mod http;
#[path = "../../../platform/tests/entry/listener.rs"]
pub mod listener;
#[path = "../../../platform/tests/entry/path.rs"]
pub mod path;
#[path = "../../../platform/tests/entry/process.rs"]
pub mod process;
pub mod record;
#[path = "../../../platform/tests/entry/store.rs"]
pub mod store;
#[path = "../../../platform/tests/entry/world.rs"]
pub mod world;
