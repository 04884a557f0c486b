//! Streams that callers go on with: finds the software version that began the stream, here, at other
//! entries, among what entries have saved in the store, or because only one has served.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use super::directory::VersionKey;
use super::job::Job;
use super::stream_versions::{RETENTION_MS, Record, StreamKey};
use super::{Gateway, directory, route};
use crate::error;

/// Time after which other entries are asked again. A datagram may be lost, or the record of a stream that has
/// just begun may still be on its way.
const LOOKUP_TIMEOUT_MS: u64 = 50;
/// How often other entries are asked about one stream.
const MAX_LOOKUPS: usize = 2;
/// Time without an answer of the store after which an endpoint may have started again unnoticed. Longer than the
/// interval between two probes of the store.
const UNCONFIRMED_MS: u64 = 1_000;
/// Maximum wait for what entries have saved in the store.
const STORE_TIMEOUT_MS: u64 = 250;
/// Time within which an entry that hears the others has a list as new as theirs: the interval between their messages,
/// and a pull.
const LIST_SPREAD: Duration = Duration::from_millis(400);
/// Interval between checks whether an answer has arrived.
const LOOKUP_POLL: Duration = Duration::from_millis(5);

/// Result of asking other entries.
enum Lookup {
    Known(VersionKey),
    /// An entry answered, and none knows the stream.
    Unknown,
    NoAnswer,
    /// No other entry has been heard lately.
    Alone,
}

impl Gateway {
    /// Binds a request that goes on with a stream to the version that began it, and to the service of that
    /// version.
    ///
    /// # Errors
    /// The refusal for the caller, if the version is unknown and several have served.
    pub(super) async fn pin_version(&self, job: &mut Job) -> Result<(), error::Refusal> {
        if !job.is_continuation() {
            return Ok(());
        }
        let (version, source) = if job.request.resumes.is_none() {
            // Nobody knows the stream, but an answer shows that this entry is not cut off.
            let lookup = match self.is_list_current() {
                true => Lookup::Unknown,
                false => self.look_up(job.stream_key()).await,
            };
            (self.only_version(job, &lookup).await, "only_version")
        } else {
            self.find_version(job).await
        };
        let Some(version) = version else {
            slog::info!(self.log, "stream unknown"; "request" => job.request.id.as_str(),
                "resumes" => job.request.resumes.as_deref(),
                "after_event" => job.request.last_event_id);
            return Err(self.final_refusal(job, error::Kind::StreamUnknown));
        };
        let snapshot = self.shared.snapshot.load();
        let service = service_of(&snapshot.directory, job, version);
        slog::debug!(self.log, "stream continued"; "request" => job.request.id.as_str(),
            "resumes" => job.request.resumes.as_deref(), "source" => source,
            "is_served" => service.is_some());
        job.service = service.unwrap_or(job.service);
        job.version = Some(version);
        Ok(())
    }

    /// Finds the version of the stream that the caller names, with the source of it.
    async fn find_version(&self, job: &Job) -> (Option<VersionKey>, &'static str) {
        let stream = job.stream_key();
        let known = self.shared.stream_versions().find(stream);
        if known.is_some() {
            return (known, "own");
        }
        let lookup = self.look_up(stream).await;
        if let Lookup::Known(version) = lookup {
            return (Some(version), "peer");
        }
        if let Some(version) = self.find_saved(stream).await {
            return (Some(version), "store");
        }
        (self.only_version(job, &lookup).await, "only_version")
    }

    /// Whether the store has told this entry of each version that serves, but for the time that a change takes.
    fn is_list_current(&self) -> bool {
        let heard_ms = self.shared.store_heard_ms.load(Ordering::Relaxed);
        let now_ms = self.now_ms();
        now_ms <= heard_ms + UNCONFIRMED_MS && self.shared.control_progress.is_current(now_ms)
    }

    /// Finds the version of a stream among those that entries have saved in the store. An entry that does not
    /// read the store asks the others again, of which one has begun to load them.
    async fn find_saved(&self, stream: StreamKey) -> Option<VersionKey> {
        let loads = self.shared.stream_versions().request_load();
        self.shared.version_store_due.notify_one();
        let end_ms = self.now_ms() + STORE_TIMEOUT_MS;
        while self.now_ms() < end_ms {
            time::sleep(LOOKUP_POLL).await;
            let versions = self.shared.stream_versions();
            let found = versions.find(stream);
            if found.is_some() || versions.loads() > loads {
                return found;
            }
            if !versions.is_load_due() {
                break;
            }
        }
        match self.look_up(stream).await {
            Lookup::Known(version) => Some(version),
            Lookup::Unknown | Lookup::NoAnswer | Lookup::Alone => None,
        }
    }

    /// Returns whether an endpoint may have started again with another version since its record was received: the
    /// store has not answered for a while, and connections to the endpoint have been lost meanwhile.
    pub(super) fn may_have_restarted(&self, endpoint: directory::EndpointKey) -> bool {
        let confirmed_ms = self.shared.directory_confirmed_ms.load(Ordering::Relaxed);
        if self.now_ms() <= confirmed_ms + UNCONFIRMED_MS {
            return false;
        }
        let lost_ms = self.lost_connections_ms.borrow().get(&endpoint).copied();
        lost_ms.is_some_and(|lost_ms| lost_ms >= confirmed_ms)
    }

    /// Records which version sent the first event of a stream, and tells other entries.
    pub(super) fn record_stream_version(&self, job: &Job, version: VersionKey) {
        if !matches!(job.kind, route::Kind::Stream { resumable: true }) {
            return;
        }
        let record = Record { stream: job.stream_key(), version };
        let now_ms = self.now_ms();
        let until_ms = now_ms + job.left_ms(now_ms).min(RETENTION_MS);
        let mut versions = self.shared.stream_versions();
        versions.record(record, now_ms);
        versions.save_until(record, until_ms);
        self.shared.stream_versions_due.notify_one();
        self.shared.version_store_due.notify_one();
    }

    /// Asks other entries which version began a stream.
    async fn look_up(&self, stream: StreamKey) -> Lookup {
        if self.shared.recent_entries.load(Ordering::Relaxed) <= 1 {
            return Lookup::Alone;
        }
        let mut result = Lookup::NoAnswer;
        for _ in 0..MAX_LOOKUPS {
            if !self.shared.stream_versions().look_up(stream) {
                break;
            }
            self.shared.stream_versions_due.notify_one();
            let end_ms = self.now_ms() + LOOKUP_TIMEOUT_MS;
            while self.now_ms() < end_ms {
                time::sleep(LOOKUP_POLL).await;
                // The lock must be released before it is taken again.
                let found = self.shared.stream_versions().find(stream);
                if let Some(version) = found {
                    self.shared.stream_versions().end_lookup(stream);
                    return Lookup::Known(version);
                }
            }
            if self.shared.stream_versions().has_unknown_answer(stream) {
                result = Lookup::Unknown;
            }
        }
        self.shared.stream_versions().end_lookup(stream);
        result
    }

    /// The version that began a stream of the request's route if there has been only one for as long as streams
    /// last. An entry that is cut off does not know: others may have begun the stream at a version that it has not
    /// heard of.
    async fn only_version(&self, job: &Job, lookup: &Lookup) -> Option<VersionKey> {
        match lookup {
            Lookup::NoAnswer => return None,
            _ if self.is_list_current() => {}
            Lookup::Alone => return None,
            Lookup::Known(_) | Lookup::Unknown => time::sleep(LIST_SPREAD).await,
        }
        let end_ms = self.now_ms() + STORE_TIMEOUT_MS;
        while self.now_ms() < end_ms && !self.shared.served_versions().is_history_read() {
            time::sleep(LOOKUP_POLL).await;
        }
        let services = job.route().weighted_services.iter();
        let services: Vec<&str> =
            services.map(|one| job.table.service(one.service).name.as_str()).collect();
        let snapshot = self.shared.snapshot.load();
        let versions = self.shared.served_versions();
        versions.only_version(&services, &snapshot.directory, self.now_ms())
    }
}

/// Returns the service of a route to which a software version belongs, if any of its endpoints is listed.
fn service_of(
    directory: &directory::Directory,
    job: &Job,
    version: VersionKey,
) -> Option<route::ServiceKey> {
    let services = job.route().weighted_services.iter().map(|one| one.service);
    let mut services = services.filter(|key| {
        let name = &job.table.service(*key).name;
        let mut endpoints = directory.endpoints().iter().filter(|one| one.service == *name);
        endpoints.any(|endpoint| endpoint.version_key() == version)
    });
    services.next()
}
