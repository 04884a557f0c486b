//! Duration of work at each endpoint. No endpoint reports one yet.

use crate::gateway::directory::EndpointKey;

/// Durations that endpoints have reported.
#[derive(Clone, Debug, Default)]
pub struct WorkDurations {}

impl WorkDurations {
    /// Returns the duration of work at an endpoint as a multiple of the usual one; 1.0 if unknown.
    #[must_use]
    pub fn factor(&self, _endpoint: EndpointKey, _now_ms: u64) -> f64 {
        1.0
    }

    /// Returns whether any endpoint has reported recently.
    #[must_use]
    pub fn is_reported(&self, _now_ms: u64) -> bool {
        false
    }
}
