//! The state that all daemons share, and the gossip protocol that replicates it between two of them.
//!
//! This module does no I/O: digests, pulls and updates are plain values. Every part has a version that
//! only grows, and a lower version is never merged, whatever its source. This keeps a lagging store, a
//! slow peer or a restarted daemon from reverting an accepted configuration.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::{config, jsonc, keys, membership, platform, store, wire};

/// Maximum number of keys in one update.
const MAX_KEYS_PER_UPDATE: usize = 4_000;

/// The active configuration.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    pub version: u64,
    pub text: String,
    pub model: Arc<config::Config>,
}

/// A configuration that was rejected, and why.
#[derive(Clone, Debug)]
pub struct RejectedConfig {
    pub version: u64,
    pub error: jsonc::Error,
}

/// Which parts of the shared state a merge changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    pub config: bool,
    pub keys: bool,
    pub roster: bool,
    pub members: bool,
}

impl Changed {
    #[must_use]
    pub fn any(self) -> bool {
        self.config || self.keys || self.roster || self.members
    }

    #[must_use]
    pub fn or(self, other: Self) -> Self {
        Self {
            config: self.config || other.config,
            keys: self.keys || other.keys,
            roster: self.roster || other.roster,
            members: self.members || other.members,
        }
    }
}

/// One daemon's replica of the shared state.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// The fleet id from the fleet's store, once known.
    pub fleet_id: Option<u64>,
    pub config: Option<ActiveConfig>,
    /// The newest text seen, valid or not; an invalid one is replicated so that all daemons reject it.
    newest: Option<wire::ConfigText>,
    /// The newest text, if it is invalid.
    pub rejected_config: Option<RejectedConfig>,
    pub keys: Arc<keys::Table>,
    pub roster: platform::Roster,
    pub fleet: membership::Fleet,
    /// Highest known count of store reads by all daemons.
    pub reads: u64,
}

impl SharedState {
    /// Empty state of which only the fleet id is known.
    #[must_use]
    pub fn of_fleet(fleet_id: u64) -> Self {
        Self { fleet_id: Some(fleet_id), ..Self::default() }
    }

    fn config_version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Summary of this state for comparison by a peer.
    #[must_use]
    pub fn digest(&self, sender: SocketAddr, is_answer: bool) -> membership::Digest {
        membership::Digest {
            sender,
            fleet_id: self.fleet_id,
            config_version: self.config_version(),
            keys_revision: self.keys.revision(),
            roster_revision: self.roster.revision,
            reads: self.reads,
            fleet: self.fleet.digest(),
            is_answer,
        }
    }

    /// Whether the sender of a digest may have state that is missing here.
    #[must_use]
    pub fn is_behind(&self, theirs: &membership::Digest) -> bool {
        theirs.config_version > self.config_version()
            || theirs.keys_revision > self.keys.revision()
            || theirs.roster_revision > self.roster.revision
            || theirs.fleet != self.fleet.digest()
    }

    /// Whether the sender of a digest may lack state that is known here.
    #[must_use]
    pub fn is_ahead(&self, theirs: &membership::Digest) -> bool {
        theirs.config_version < self.config_version()
            || theirs.keys_revision < self.keys.revision()
            || theirs.roster_revision < self.roster.revision
            || theirs.fleet != self.fleet.digest()
    }

    /// The pull that asks a peer for everything newer than this state.
    #[must_use]
    pub fn pull(&self) -> wire::Pull {
        wire::Pull {
            fleet_id: self.fleet_id,
            config_version: self.config_version(),
            keys_revision: self.keys.revision(),
            roster_revision: self.roster.revision,
            members: self.fleet.summaries(),
        }
    }

    /// The update with what a pulling peer lacks.
    #[must_use]
    pub fn update_for(&self, pull: &wire::Pull) -> wire::Update {
        let mut keys = self.keys.after(pull.keys_revision);
        let more_keys = keys.len() > MAX_KEYS_PER_UPDATE;
        keys.truncate(MAX_KEYS_PER_UPDATE);
        let newest = self.newest.as_ref();
        wire::Update {
            fleet_id: self.fleet_id,
            config: newest.filter(|text| text.version > pull.config_version).cloned(),
            keys,
            more_keys,
            roster: (self.roster.revision > pull.roster_revision).then(|| self.roster.clone()),
            members: self.fleet.newer_than(&pull.members),
        }
    }

    /// Whether a message with this fleet id comes from another fleet.
    ///
    /// A daemon may get an address that a daemon of another fleet used before, and then receives state
    /// from peers that still know the address. Versions of two stores can't be compared: the other
    /// fleet's configuration would be applied, and keys of this fleet would be ignored as old.
    #[must_use]
    pub fn is_foreign(&self, fleet_id: Option<u64>) -> bool {
        self.fleet_id.zip(fleet_id).is_some_and(|(mine, theirs)| mine != theirs)
    }

    /// Merges a peer's update.
    pub fn merge_update(&mut self, update: wire::Update) -> Changed {
        let mut changed = Changed::default();
        if self.is_foreign(update.fleet_id) {
            return changed;
        }
        self.fleet_id = self.fleet_id.or(update.fleet_id);
        if let Some(text) = update.config {
            changed.config = self.merge_config(text);
        }
        for key in update.keys {
            changed.keys |= Arc::make_mut(&mut self.keys).merge(key);
        }
        if let Some(roster) = update.roster {
            changed.roster = self.merge_roster(roster);
        }
        for member in update.members {
            changed.members |= self.fleet.merge(member);
        }
        changed
    }

    /// Merges objects read from the store under the shared prefix.
    ///
    /// The objects of successive calls must be in order of their versions and without gaps: the
    /// revision of the key table means that all keys up to it are known.
    pub fn merge_objects(&mut self, mut objects: Vec<store::Object>) -> Changed {
        objects.sort_by_key(|object| object.version);
        let mut changed = Changed::default();
        for object in objects {
            if object.key == store::FLEET_KEY {
                self.fleet_id = object.value.parse().ok().or(self.fleet_id);
            } else if object.key == store::CONFIG_KEY {
                let text = wire::ConfigText { version: object.version, text: object.value };
                changed.config |= self.merge_config(text);
            } else if object.key.starts_with(store::KEYS_PREFIX) {
                let Ok(record) = serde_json::from_str(&object.value) else {
                    continue;
                };
                let versioned = keys::Versioned { revision: object.version, record };
                changed.keys |= Arc::make_mut(&mut self.keys).merge(versioned);
            }
        }
        changed
    }

    /// Merges a configuration text unless the same or a newer version is known. An invalid text is
    /// recorded as rejected, and the last valid one stays active.
    pub fn merge_config(&mut self, text: wire::ConfigText) -> bool {
        if text.version <= self.config_version() {
            return false;
        }
        match config::Config::parse(&text.text) {
            Ok(model) => {
                self.rejected_config = None;
                self.config = Some(ActiveConfig {
                    version: text.version,
                    text: text.text.clone(),
                    model: Arc::new(model),
                });
            }
            Err(error) => {
                self.rejected_config = Some(RejectedConfig { version: text.version, error });
            }
        }
        self.newest = Some(text);
        true
    }

    /// Merges the platform's list unless the same or a newer revision is known.
    pub fn merge_roster(&mut self, roster: platform::Roster) -> bool {
        if roster.revision <= self.roster.revision {
            return false;
        }
        self.roster = roster;
        true
    }

    /// Builds the snapshot for the traffic threads.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let leaving: HashSet<&str> = self
            .roster
            .instances
            .iter()
            .filter(|instance| instance.standing == platform::Standing::Leaving)
            .map(|instance| instance.id.as_str())
            .collect();
        Snapshot {
            config: self.config.clone(),
            keys: Arc::clone(&self.keys),
            leaving: leaving.iter().map(|id| CompactString::from(*id)).collect(),
            endpoints: available_endpoints(&self.fleet, &leaving),
            entries: ready_entries(&self.fleet),
        }
    }
}

fn ready_entries(fleet: &membership::Fleet) -> usize {
    fleet
        .iter()
        .filter(|member| member.role == membership::Role::Entry)
        .filter(|member| member.state == membership::State::Ready)
        .count()
}

/// Endpoints that accept work, by region and service.
fn available_endpoints(
    fleet: &membership::Fleet,
    leaving: &HashSet<&str>,
) -> HashMap<CompactString, Vec<membership::EndpointLocation>> {
    let mut endpoints: HashMap<CompactString, Vec<membership::EndpointLocation>> = HashMap::new();
    for member in fleet.iter().filter(|member| member.state == membership::State::Ready) {
        if leaving.contains(member.id.as_str()) {
            continue;
        }
        for endpoint in member.endpoint_locations() {
            if !leaving.contains(endpoint.id.as_str()) {
                let service = endpoint.service.clone();
                endpoints
                    .entry(region_service_key(&member.region, &service))
                    .or_default()
                    .push(endpoint);
            }
        }
    }
    endpoints
}

fn region_service_key(region: &str, service: &str) -> CompactString {
    compact_str::format_compact!("{region}/{service}")
}

/// The state as the traffic threads see it; each change replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub config: Option<ActiveConfig>,
    pub keys: Arc<keys::Table>,
    /// Daemons and endpoints that the platform lists as leaving.
    pub leaving: HashSet<CompactString>,
    endpoints: HashMap<CompactString, Vec<membership::EndpointLocation>>,
    /// Number of entries that accept requests, in all regions.
    pub entries: usize,
}

impl Snapshot {
    /// Endpoints of a service in a region that accept work.
    #[must_use]
    pub fn endpoints(&self, region: &str, service: &str) -> &[membership::EndpointLocation] {
        self.endpoints.get(&region_service_key(region, service)).map_or(&[], Vec::as_slice)
    }

    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}
