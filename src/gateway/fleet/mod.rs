//! Communication between entries: state and load exchange over UDP, and pulls over TCP by which an entry
//! that is behind or has just started catches up.

pub(super) mod datagrams;
pub mod exchange;
pub(super) mod members;
pub mod message;
pub mod peers;
pub(super) mod prefix_recovery;
pub mod pulls;
pub(super) mod stream_keepers;
pub(super) mod version_store;
