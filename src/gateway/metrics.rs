//! Metrics of a forwarding entry. `docs/METRICS.md` lists them. Label values are services of the
//! configuration or come from fixed sets, so their number is bounded.

use super::policy::{engine_memory, limits};
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

/// Records the longest gap between events that is forecast for a chosen engine.
pub fn gap_forecast(service: &str, longest_ms: f64) {
    metrics::histogram!("briarwinch_gateway_gap_forecast_seconds", "service" => service.to_owned())
        .record(longest_ms / 1_000.0);
}

/// Counts a choice in which engines had no memory for the request.
pub fn engine_memory(service: &str, room: engine_memory::Room, priority: u8) {
    let outcome = match room {
        engine_memory::Room::Unchecked | engine_memory::Room::Enough { left_out: 0 } => return,
        engine_memory::Room::Enough { .. } => "left_out",
        engine_memory::Room::Nowhere if room.admits(priority) => "exceeded",
        engine_memory::Room::Nowhere => "refused",
    };
    metrics::counter!("briarwinch_gateway_engine_memory_short_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// Counts the end of a stream by its outcome.
pub fn stream_ended(service: &str, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_streams_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// Sets what the entry buffers of the responses to callers and from endpoints, and the allowance for it.
pub fn buffered(buffered_bytes: usize, allowance_bytes: usize) {
    metrics::gauge!("briarwinch_gateway_buffered_bytes").set(buffered_bytes as f64);
    metrics::gauge!("briarwinch_gateway_buffer_allowance_bytes").set(allowance_bytes as f64);
}

/// Counts a response that was ended because its caller did not read it.
pub fn slow_reader_dropped(cause: &'static str) {
    metrics::counter!("briarwinch_gateway_slow_readers_dropped_total", "cause" => cause)
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

/// Counts a load report of an endpoint of which a part was dropped.
pub fn malformed_load(service: &str) {
    metrics::counter!("briarwinch_gateway_malformed_load_reports_total",
        "service" => service.to_owned())
    .increment(1);
}

/// Sets the gauges of the reported durations of work. `averages` are those of the endpoints that report
/// one; the fastest and the slowest are zero if there are none.
pub fn work_durations(averages: impl Iterator<Item = f64>) {
    let (mut count, mut fastest, mut slowest) = (0_u32, f64::INFINITY, 0.0_f64);
    for average in averages {
        count += 1;
        fastest = fastest.min(average);
        slowest = slowest.max(average);
    }
    let fastest = if count == 0 { 0.0 } else { fastest };
    metrics::gauge!("briarwinch_gateway_endpoints_with_duration").set(f64::from(count));
    metrics::gauge!("briarwinch_gateway_work_duration_ratio", "endpoint" => "fastest").set(fastest);
    metrics::gauge!("briarwinch_gateway_work_duration_ratio", "endpoint" => "slowest").set(slowest);
}

/// Sets the gauges of the control thread's state.
pub fn control_state(
    snapshot: &shared::Snapshot,
    limited: limits::Counts,
    leaving: usize,
    (requests_quarantined, parts_quarantined): (usize, usize),
    peers: usize,
    holds_duties: bool,
) {
    let version = snapshot.table.as_ref().map_or(0, |table| table.version());
    metrics::gauge!("briarwinch_gateway_config_version").set(version as f64);
    metrics::gauge!("briarwinch_gateway_endpoints")
        .set(snapshot.directory.endpoints().len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoint_records_outdated")
        .set(snapshot.directory.set_aside().count() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_cold")
        .set(snapshot.cold_endpoints.endpoints.len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_limited").set(limited.limited as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_without_share").set(limited.without_share as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_leaving").set(leaving as f64);
    metrics::gauge!("briarwinch_gateway_requests_quarantined").set(requests_quarantined as f64);
    metrics::gauge!("briarwinch_gateway_parts_quarantined").set(parts_quarantined as f64);
    metrics::gauge!("briarwinch_gateway_zones_evacuated")
        .set(snapshot.evacuations.zones().count() as f64);
    metrics::gauge!("briarwinch_gateway_peers").set(peers as f64);
    metrics::gauge!("briarwinch_gateway_holds_duties").set(f64::from(u8::from(holds_duties)));
}

/// Counts a health check of an endpoint that had left a request unanswered.
pub fn silent_endpoint_checked(service: &str, outcome: &str) {
    metrics::counter!("briarwinch_gateway_silence_checks_total", "service" => service.to_owned(),
        "outcome" => outcome.to_owned())
    .increment(1);
}

/// Records how late the control thread was with a tick.
pub fn control_late(late_ms: u64) {
    metrics::histogram!("briarwinch_gateway_control_late_seconds").record(late_ms as f64 / 1_000.0);
}

/// Sets the gauges of a service's call queue.
pub fn call_queue(service: &str, waiting: usize, in_progress: u32, limit: u32) {
    metrics::gauge!("briarwinch_gateway_calls_waiting", "service" => service.to_owned())
        .set(waiting as f64);
    metrics::gauge!("briarwinch_gateway_calls_in_progress", "service" => service.to_owned())
        .set(f64::from(in_progress));
    metrics::gauge!("briarwinch_gateway_call_limit", "service" => service.to_owned())
        .set(f64::from(limit));
}

/// Records how long a call waited for its place.
pub fn call_waited(service: &str, waited_ms: u64) {
    metrics::histogram!("briarwinch_gateway_call_wait_seconds", "service" => service.to_owned())
        .record(waited_ms as f64 / 1_000.0);
}

/// Counts a call that was refused while it waited, by reason.
pub fn call_refused(service: &str, reason: &'static str) {
    metrics::counter!("briarwinch_gateway_calls_refused_total",
        "service" => service.to_owned(), "reason" => reason)
    .increment(1);
}
