//! The metrics recorder. `docs/METRICS.md` lists every name, its unit and its labels.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::seal;

/// Bucket bounds of the histograms, in seconds.
const SECONDS: [f64; 12] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.41, 0.8, 1.5, 3.0, 10.0, 60.0];

/// Installs the metrics recorder of this process.
///
/// # Errors
/// When a recorder is already installed.
pub fn install() -> anyhow::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&SECONDS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| anyhow::anyhow!("cannot install metrics: {error}"))
}

/// Counts a received message that was rejected, by reason.
pub fn count_reject(reject: seal::Reject) {
    let reason = match reject {
        seal::Reject::Size => "size",
        seal::Reject::Seal => "seal",
        seal::Reject::Message => "message",
        seal::Reject::Fleet => "fleet",
    };
    metrics::counter!("briarwinch_rejected_messages_total", "reason" => reason).increment(1);
}
