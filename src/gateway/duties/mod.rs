//! The work that one entry does for the whole fleet while it holds the lease: billing and autoscaling.

pub mod billing;
pub mod delivery;
pub mod election;
pub mod scaling;
pub mod seals;
pub mod tally;
