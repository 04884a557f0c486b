//! Finds out whether an engine's process has ended when prompts are lost with its connections, and records the
//! parts of these prompts.

use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::{task, time};

use super::job::Job;
use super::policy::quarantine;
use super::request::Prompt;
use super::{Gateway, directory, http1, pool, request_log};
use crate::error;

/// Time between a loss and the check: other losses with the same engine are found meanwhile.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Interval at which a request waits for the end of a check.
const CHECK_POLL: Duration = Duration::from_millis(10);

/// Prompts that were lost with the connections of an engine.
#[derive(Debug)]
pub(super) struct Losses {
    /// When the first of them was lost.
    at_ms: u64,
    /// Number of prompts.
    prompts: usize,
    parts: HashSet<u64>,
}

/// Returns the ids of the parts that other prompts may have as well.
fn shared_parts(prompt: &Prompt) -> impl Iterator<Item = u64> {
    prompt.shared_parts().iter().map(|part| part.id)
}

impl Gateway {
    /// Records that a prompt was lost with its connection before the engine was seen to write an answer.
    pub(super) fn suspect_crash(
        self: &Rc<Self>,
        job: &Job,
        endpoint: &directory::Endpoint,
        error: &http1::Error,
    ) {
        let is_closed = matches!(error, http1::Error::Broken(_) | http1::Error::Closed);
        let Some(prompt) = job.request.prompt.as_ref().filter(|_| is_closed) else {
            return;
        };
        let mut checks = self.crash_checks.borrow_mut();
        if !checks.contains_key(&endpoint.key) {
            task::spawn_local(Rc::clone(self).check_crash(endpoint.clone()));
        }
        let at_ms = self.now_ms();
        let losses = checks.entry(endpoint.key).or_insert_with(|| Losses {
            at_ms,
            prompts: 0,
            parts: HashSet::new(),
        });
        losses.prompts += 1;
        losses.parts.extend(shared_parts(prompt));
    }

    /// An engine that accepts a connection has not ended: only the lost connections have failed.
    async fn check_crash(self: Rc<Self>, endpoint: directory::Endpoint) {
        time::sleep(CHECK_DELAY).await;
        let connected = pool::connect(endpoint.addr, self.shared.settings.leave_ms).await;
        let Some(losses) = self.crash_checks.borrow_mut().remove(&endpoint.key) else {
            return;
        };
        let outcome = match &connected {
            Ok(_) => "alive",
            Err(http1::Error::Connect(error))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                "ended"
            }
            Err(_) => "unreachable",
        };
        slog::info!(self.log, "endpoint checked"; "endpoint" => endpoint.id.as_str(),
            "outcome" => outcome, "lost" => losses.prompts,
            "checked_after_ms" => self.now_ms() - losses.at_ms);
        match connected {
            Ok(connection) => {
                self.pool.borrow_mut().put(endpoint.addr, connection, self.now_ms());
            }
            Err(http1::Error::Connect(error))
                if error.kind() == io::ErrorKind::ConnectionRefused =>
            {
                self.mark_unreachable(&endpoint);
                let Losses { at_ms, parts, .. } = losses;
                let changes = self.shared.quarantine().record_crash(endpoint.key, parts, at_ms);
                self.announce_quarantine(&changes);
            }
            // The path to the engine may have failed, which says nothing about the prompts.
            Err(_) => self.mark_unreachable(&endpoint),
        }
    }

    /// Waits for the check of an engine with which a request was lost, if the request may have been the cause.
    /// It would end the next engine otherwise before this crash is known.
    pub(super) async fn await_crash_check(&self, job: &Job, endpoint: directory::EndpointKey) {
        let Some(prompt) = &job.request.prompt else {
            return;
        };
        if !self.shared.quarantine().has_unproven(shared_parts(prompt), self.now_ms()) {
            return;
        }
        while self.crash_checks.borrow().contains_key(&endpoint) {
            time::sleep(CHECK_POLL).await;
        }
    }

    /// Records that an engine has written an answer on the prompt.
    pub(super) fn record_prompt_success(&self, job: &Job) {
        if let Some(prompt) = &job.request.prompt {
            let now_ms = self.now_ms();
            let changes = self.shared.quarantine().record_success(shared_parts(prompt), now_ms);
            self.announce_quarantine(&changes);
        }
    }

    fn announce_quarantine(&self, changes: &[quarantine::Change]) {
        if !changes.is_empty() {
            request_log::log_quarantine(&self.log, changes, "own");
            self.shared.urgent_update.notify_one();
        }
    }

    /// The refusal of a prompt with a part in quarantine.
    pub(super) fn check_quarantine(&self, job: &Job) -> Result<(), error::Refusal> {
        let Some(prompt) = &job.request.prompt else {
            return Ok(());
        };
        let now_ms = self.now_ms();
        let admitted = self.shared.quarantine().admit(shared_parts(prompt), now_ms);
        let Err(wait_ms) = admitted else {
            return Ok(());
        };
        if job.may_have_run {
            return Err(self.final_refusal(job, error::Kind::EndpointFailed));
        }
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        Err(error::Refusal::not_run(error::Kind::PromptQuarantined).retry_after_ms(wait_ms))
    }
}
