//! Asks endpoints that leave requests unanswered whether they are alive.
//!
//! The kernel of a machine accepts requests for a process that stands still, and nothing withdraws them: the process reads
//! them when it goes on, perhaps long after its record has expired. So an endpoint that is suspected to stand still is
//! asked by a health check instead of being tried with callers' requests.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::{task, time};

use super::{Gateway, directory, http1, metrics, pool, shared, silences};

/// Interval at which suspected endpoints are looked for.
const POLL: Duration = Duration::from_millis(50);
/// Time after which a check is repeated on another connection, because its answer may be lost. An endpoint that goes on
/// within it answers at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a check that is still unanswered is told to the other entries.
const TELL_AFTER_MS: u64 = 150;

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Outcome {
    #[display("answered")]
    Answered,
    #[display("no_answer")]
    NoAnswer,
    #[display("no_connection")]
    NoConnection,
    #[display("other_endpoint")]
    OtherEndpoint,
}

/// Checks suspected endpoints for as long as the process lives. Those that get no requests anyway are not asked.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        time::sleep(POLL).await;
        let now_ms = gateway.now_ms();
        gateway.health.borrow_mut().note_silences(now_ms);
        let suspects = gateway.health.borrow().suspects(now_ms);
        let snapshot = gateway.shared.snapshot.load();
        gateway.tell_silences(&snapshot, now_ms);
        gateway.learn_silences(&snapshot, now_ms);
        for endpoint in suspects.into_iter().filter_map(|key| snapshot.directory.find(key)) {
            let is_used = snapshot.accepts(endpoint, now_ms)
                && gateway.eligibility(&snapshot, now_ms).allows(endpoint);
            let table = snapshot.table.as_ref();
            let service = table.and_then(|table| table.service_named(&endpoint.service));
            let path = service.map(|service| service.health_path.clone()).unwrap_or_default();
            if !is_used {
                continue;
            }
            if path.is_empty() {
                // Only another request can show whether it is alive.
                gateway.health.borrow_mut().forget_silence(endpoint.key);
                continue;
            }
            if let Entry::Vacant(check) = gateway.silence_checks.borrow_mut().entry(endpoint.key) {
                check.insert(now_ms);
                task::spawn_local(Rc::clone(&gateway).check_silent(endpoint.clone(), path));
            }
        }
    }
}

impl Gateway {
    /// Tells the other entries which endpoints leave a check unanswered.
    fn tell_silences(&self, snapshot: &shared::Snapshot, now_ms: u64) {
        let checks = self.silence_checks.borrow();
        let unanswered = checks.iter().filter(|(_, since_ms)| now_ms >= **since_ms + TELL_AFTER_MS);
        for endpoint in unanswered.filter_map(|(key, _)| snapshot.directory.find(*key)) {
            let is_silent = self.health.borrow().silent_ms(endpoint.key, now_ms) >= TELL_AFTER_MS;
            let silence = silences::Silence::of(endpoint);
            if is_silent && self.shared.silences().record(silence, now_ms) {
                self.shared.urgent_update.notify_one();
            }
        }
    }

    /// Takes over which endpoints any entry has found silent.
    fn learn_silences(&self, snapshot: &shared::Snapshot, now_ms: u64) {
        let silences = self.shared.silences();
        let known = silences.recent(now_ms).into_iter();
        let listed = known.filter_map(|silence| snapshot.directory.find(silence.endpoint));
        let silent = listed.filter(|endpoint| silences.contains(endpoint, now_ms));
        let silent = silent.map(|endpoint| endpoint.key).collect();
        self.health.borrow_mut().set_silent_elsewhere(silent);
    }

    async fn check_silent(self: Rc<Self>, endpoint: directory::Endpoint, path: CompactString) {
        let begin_ms = self.now_ms();
        let silent_ms = self.health.borrow().silent_ms(endpoint.key, begin_ms);
        let outcome = match self.ask(&endpoint, &path).await {
            Ok(true) => Outcome::Answered,
            Ok(false) => Outcome::OtherEndpoint,
            Err(http1::Error::TimedOut) => Outcome::NoAnswer,
            Err(_) => {
                self.mark_unreachable(&endpoint);
                Outcome::NoConnection
            }
        };
        let name = outcome.to_string();
        metrics::silent_endpoint_checked(&endpoint.service, &name);
        slog::info!(self.log, "silent endpoint checked"; "endpoint" => endpoint.id.as_str(),
            "silent_ms" => silent_ms, "outcome" => name, "took_ms" => self.now_ms() - begin_ms);
        self.silence_checks.borrow_mut().remove(&endpoint.key);
    }

    /// Sends a health check and waits for the head of its answer. Returns false if another endpoint answers.
    async fn ask(&self, endpoint: &directory::Endpoint, path: &str) -> Result<bool, http1::Error> {
        let idle = self.pool.borrow_mut().take(endpoint.addr, self.now_ms());
        let mut connection = match idle {
            Some(connection) => connection,
            None => pool::connect(endpoint.addr, self.shared.settings.leave_ms)
                .await
                .inspect_err(|error| self.record_failed_connect(endpoint, error))?,
        };
        let check = self.protocol.encode_health_check(endpoint, path);
        let answer = time::timeout(ANSWER_TIMEOUT, connection.exchange(&check)).await;
        let head = answer.unwrap_or(Err(http1::Error::TimedOut))?;
        let info = self.protocol.parse_head(&head);
        if info.is_other_endpoint {
            self.mark_misdirected(endpoint);
            return Ok(false);
        }
        self.health.borrow_mut().record_answered_check(endpoint.key, self.now_ms());
        self.shared.silences().forget(endpoint.key);
        self.record_departure(endpoint, &info);
        self.recycle(endpoint, connection).await;
        Ok(true)
    }
}
