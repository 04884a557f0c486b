//! Duration of work at each endpoint, relative to the usual one.
//!
//! Placeholder with the interface that the selection uses; the decoding of reports replaces it.

use std::collections::HashMap;

use crate::gateway::directory::EndpointKey;

/// Duration factors of the endpoints that report one.
#[derive(Clone, Debug, Default)]
pub struct WorkDurations {
    factors: HashMap<EndpointKey, f64>,
}

impl WorkDurations {
    /// Sets the factor of an endpoint.
    pub fn set_factor(&mut self, endpoint: EndpointKey, factor: f64) {
        self.factors.insert(endpoint, factor);
    }

    /// Returns by how much work takes longer than usual there; 1 if unknown.
    #[must_use]
    pub fn factor(&self, endpoint: EndpointKey, _now_ms: u64) -> f64 {
        self.factors.get(&endpoint).copied().unwrap_or(1.0)
    }

    /// Returns whether any endpoint has reported lately.
    #[must_use]
    pub fn is_reported(&self, _now_ms: u64) -> bool {
        !self.factors.is_empty()
    }
}
