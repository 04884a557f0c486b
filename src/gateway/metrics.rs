//! Counters and histograms of a forwarding entry. `docs/METRICS.md` lists them; the values of labels
//! are services of the configuration and closed lists, so their number is bounded.

use super::shared;

/// A request has begun or ended; so many are under way.
pub fn active_requests(count: u32) {
    metrics::gauge!("briarwinch_active_requests").set(f64::from(count));
}

/// A request got its final answer.
pub fn answered(service: &str, outcome: &'static str, took_ms: u64) {
    metrics::counter!("briarwinch_gateway_answers_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
    metrics::histogram!("briarwinch_gateway_answer_seconds", "service" => service.to_owned())
        .record(took_ms as f64 / 1_000.0);
}

/// A request was refused before it had a service.
pub fn refused(code: &'static str) {
    metrics::counter!("briarwinch_gateway_refusals_total", "code" => code).increment(1);
}

/// A send to an endpoint came to this.
pub fn send_outcome(service: &str, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_sends_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// The first event of a stream came.
pub fn first_event(service: &str, took_ms: u64) {
    metrics::histogram!("briarwinch_gateway_first_event_seconds", "service" => service.to_owned())
        .record(took_ms as f64 / 1_000.0);
}

/// A stream ended like this.
pub fn stream_ended(service: &str, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_streams_total",
        "service" => service.to_owned(), "outcome" => outcome)
    .increment(1);
}

/// A call to the store, by what it does and to which kind of object, was answered or not.
pub fn store_call(call: &'static str, kind: String, outcome: &'static str) {
    metrics::counter!("briarwinch_gateway_store_calls_total",
        "call" => call, "kind" => kind, "outcome" => outcome)
    .increment(1);
}

/// Other entries were sent a message of this kind.
pub fn messages_sent(kind: &'static str, messages: u64, bytes: u64) {
    metrics::counter!("briarwinch_gateway_messages_total", "kind" => kind).increment(messages);
    metrics::counter!("briarwinch_gateway_message_bytes_total", "kind" => kind)
        .increment(messages * bytes);
}

/// What the control thread knows.
pub fn control_state(
    snapshot: &shared::Snapshot,
    limited: usize,
    leaving: usize,
    peers: usize,
    holds_duties: bool,
) {
    let version = snapshot.table.as_ref().map_or(0, |table| table.version());
    metrics::gauge!("briarwinch_gateway_config_version").set(version as f64);
    metrics::gauge!("briarwinch_gateway_endpoints")
        .set(snapshot.directory.endpoints().len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_cold")
        .set(snapshot.warming.endpoints.len() as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_limited").set(limited as f64);
    metrics::gauge!("briarwinch_gateway_endpoints_leaving").set(leaving as f64);
    metrics::gauge!("briarwinch_gateway_zones_evacuated")
        .set(snapshot.evacuations.zones().count() as f64);
    metrics::gauge!("briarwinch_gateway_peers").set(peers as f64);
    metrics::gauge!("briarwinch_gateway_holds_duties").set(f64::from(u8::from(holds_duties)));
}
