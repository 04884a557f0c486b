//! Metrics of a forwarding entry. `docs/METRICS.md` lists them. Label values are services of the
//! configuration or come from fixed sets, so their number is bounded.

use super::shared;

/// Sets the number of active requests.
pub fn active_requests(count: u32) {
    metrics::gauge!("briarwinch_active_requests").set(f64::from(count));
}

/// Records the final response to a request.
pub fn answered(service: &str, outcome: &'static str, took_ms: u64) {
    metrics::counter!("briarwinch_gateway_answers_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
    metrics::histogram!("briarwinch_gateway_answer_seconds", "service" => service.to_owned())
        .record(took_ms as f64 / 1_000.0);
}

/// Counts a request that was refused before it was assigned to a service.
pub fn refused(code: &'static str) {
    metrics::counter!("briarwinch_gateway_refusals_total", "code" => code).increment(1);
}

/// Counts a send to an endpoint by its outcome.
pub fn send_outcome(service: &str, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_sends_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// Records the estimated imbalance of a service's endpoints and the age of the report or table that
/// decided a choice.
pub fn choice(service: &str, imbalance: f64, report_age_ms: u64) {
    metrics::gauge!("briarwinch_gateway_load_imbalance", "service" => service.to_owned())
        .set(imbalance);
    metrics::histogram!("briarwinch_gateway_deciding_report_age_seconds",
        "service" => service.to_owned())
    .record(report_age_ms as f64 / 1_000.0);
}

/// Counts a call that was billed although it is unknown whether an endpoint ran it.
pub fn call_of_unknown_outcome(service: &str) {
    metrics::counter!("briarwinch_gateway_calls_of_unknown_outcome_total",
        "service" => service.to_owned())
    .increment(1);
}

/// Records the time to the first event of a stream.
pub fn first_event(service: &str, took_ms: u64) {
    metrics::histogram!("briarwinch_gateway_first_event_seconds", "service" => service.to_owned())
        .record(took_ms as f64 / 1_000.0);
}

/// Counts the end of a stream by its outcome.
pub fn stream_ended(service: &str, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_streams_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// Counts a call to the store by operation, kind of object and outcome.
pub fn store_call(call: &'static str, kind: String, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_store_calls_total",
        "call" => call, "kind" => kind, "outcome" => outcome)
    .increment(1);
}

/// Counts messages of one kind sent to other entries, and their bytes.
pub fn messages_sent(kind: &'static str, messages: u64, bytes: u64) {
    metrics::counter!("briarwinch_gateway_messages_total", "kind" => kind).increment(messages);
    metrics::counter!("briarwinch_gateway_message_bytes_total", "kind" => kind)
        .increment(messages * bytes);
}

/// Sets the gauges of the control thread's state.
pub fn control_state(
    snapshot: &shared::Snapshot,
    limited: usize,
    leaving: usize,
    (requests_quarantined, parts_quarantined): (usize, usize),
    peers: usize,
    holds_duties: bool,
) {
    let version = snapshot.table.as_ref().map_or(0, |table| table.version());
    metrics::gauge!("briarwinch_gateway_config_version").set(version as f64);
    metrics::gauge!("briarwinch_gateway_endpoints")
        .set(snapshot.directory.endpoints().len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_cold")
        .set(snapshot.cold_endpoints.endpoints.len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_limited").set(limited as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_leaving").set(leaving as f64);
    metrics::gauge!("briarwinch_gateway_requests_quarantined").set(requests_quarantined as f64);
    metrics::gauge!("briarwinch_gateway_parts_quarantined").set(parts_quarantined as f64);
    metrics::gauge!("briarwinch_gateway_zones_evacuated")
        .set(snapshot.evacuations.zones().count() as f64);
    metrics::gauge!("briarwinch_gateway_peers").set(peers as f64);
    metrics::gauge!("briarwinch_gateway_holds_duties").set(f64::from(u8::from(holds_duties)));
}
