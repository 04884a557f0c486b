//! Durations of work as endpoints report them, and what the estimates of an entry learn from observed times.

use compact_str::CompactString;

use super::attempt::OpenResponse;
use super::{Gateway, directory, metrics, request, request_log};

impl Gateway {
    /// Records the duration of work that the head of a response reports.
    pub(super) fn record_work_duration(
        &self,
        endpoint: &directory::Endpoint,
        info: &request::ResponseInfo,
        now_ms: u64,
    ) {
        if let Some(percent) = info.load.and_then(|load| load.duration_percent) {
            self.shared.work_durations().record(endpoint, percent, now_ms);
        }
        if let Some(header) = &info.malformed_load {
            metrics::malformed_load(&endpoint.service);
            if self.shared.work_durations().record_malformed(endpoint.key, now_ms) {
                request_log::log_malformed_load(&self.log, &endpoint.id, header);
            }
        }
    }

    /// Records the end of a response in the health of its endpoint, with its time at the usual duration of
    /// work: what a slow phase added does not count afterwards.
    pub(super) fn record_response_time(
        &self,
        endpoint: &directory::Endpoint,
        is_success: bool,
        took_ms: u64,
        now_ms: u64,
    ) {
        let factor = self.shared.work_durations().factor_over(endpoint, took_ms, now_ms);
        let usual_ms = (took_ms as f64 / factor).round() as u64;
        self.health.borrow_mut().record_response(endpoint.key, is_success, usual_ms, now_ms);
    }

    /// Updates the estimates of a service with the time to the first event of a response, which has just arrived.
    pub(super) fn learn_first_event(&self, service: &CompactString, response: &OpenResponse) {
        let now_ms = self.now_ms();
        let (endpoint, guard) = (&response.endpoint, &response.load_guard);
        let took_ms = now_ms - response.sent_ms;
        let factor = self.shared.work_durations().factor_over(endpoint, took_ms, now_ms);
        let (tokens, requests) = (guard.prefill_tokens(), guard.requests_at_send());
        self.shared.update_prefill_model(service, |model| {
            model.observe_first_event(tokens, took_ms);
            // At a full engine the wait for a slot is part of the time.
            if requests < endpoint.slots {
                model.fitted.observe_first_event(tokens, requests, took_ms, factor);
            }
        });
    }

    /// Expected time from the first event of a stream to its end; `None` without an output limit.
    pub(super) fn expected_run_ms(&self, service: &str, request: &request::Request) -> Option<u64> {
        let output_tokens = request.output_tokens()?;
        Some(self.shared.prefill_model(service).run_ms(output_tokens))
    }

    /// Updates the estimates of a service with a stream that ended `ran_ms` after its first event.
    /// `requests` others were at the endpoint when it was sent.
    pub(super) fn learn_run(
        &self,
        service: &CompactString,
        endpoint: &directory::Endpoint,
        output_tokens: u32,
        requests: u32,
        ran_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let factor = self.shared.work_durations().factor_over(endpoint, ran_ms, now_ms);
        let at_end = self.shared.load_table().work_at(endpoint.key, now_ms).requests;
        let requests = u32::midpoint(requests, at_end.saturating_sub(1));
        self.shared.update_prefill_model(service, |model| {
            model.observe_run(output_tokens, ran_ms);
            model.fitted.observe_run(output_tokens, requests, ran_ms, factor);
        });
    }
}
