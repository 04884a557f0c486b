//! What all daemons share, and how two of them bring each other up to date.
//!
//! Pure: digests, pulls and news go in and come out as values. Every part has a version that only
//! grows, and a lower one is never taken, whoever offers it: that is what keeps an accepted
//! configuration from reverting through a lagging store, a slow peer or a restarted daemon.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::{config, jsonc, keys, membership, platform, store, wire};

/// Keys in one frame of news.
const KEYS_PER_NEWS: usize = 4_000;

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct InForce {
    pub version: u64,
    pub text: String,
    pub model: Arc<config::Config>,
}

/// A configuration that was not taken, and why.
#[derive(Clone, Debug)]
pub struct Refused {
    pub version: u64,
    pub mistake: jsonc::Error,
}

/// What changed when something was taken in.
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

/// One daemon's copy of what all share.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// The number in the fleet's store, once known.
    pub fleet_id: Option<u64>,
    pub config: Option<InForce>,
    /// The newest text seen, good or not; a bad one is passed on so that all agree to refuse it.
    newest: Option<wire::ConfigText>,
    pub refused: Option<Refused>,
    pub keys: Arc<keys::Table>,
    pub roster: platform::Roster,
    pub fleet: membership::Fleet,
    /// Reads of the store by any daemon, as far as known.
    pub reads: u64,
}

impl Shared {
    /// Nothing is known but the fleet's number.
    #[must_use]
    pub fn of_fleet(fleet_id: u64) -> Self {
        Self { fleet_id: Some(fleet_id), ..Self::default() }
    }

    fn config_version(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// What peers compare.
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

    /// Whether the sender of a digest has something that is not here.
    #[must_use]
    pub fn is_behind(&self, theirs: &membership::Digest) -> bool {
        theirs.config_version > self.config_version()
            || theirs.keys_revision > self.keys.revision()
            || theirs.roster_revision > self.roster.revision
            || theirs.fleet != self.fleet.digest()
    }

    /// Whether something here may be missing at the sender of a digest.
    #[must_use]
    pub fn is_ahead(&self, theirs: &membership::Digest) -> bool {
        theirs.config_version < self.config_version()
            || theirs.keys_revision < self.keys.revision()
            || theirs.roster_revision < self.roster.revision
            || theirs.fleet != self.fleet.digest()
    }

    /// What to ask a peer for.
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

    /// What a pulling peer lacks.
    #[must_use]
    pub fn news_for(&self, pull: &wire::Pull) -> wire::News {
        let mut keys = self.keys.after(pull.keys_revision);
        let more_keys = keys.len() > KEYS_PER_NEWS;
        keys.truncate(KEYS_PER_NEWS);
        let newest = self.newest.as_ref();
        wire::News {
            fleet_id: self.fleet_id,
            config: newest.filter(|text| text.version > pull.config_version).cloned(),
            keys,
            more_keys,
            roster: (self.roster.revision > pull.roster_revision).then(|| self.roster.clone()),
            members: self.fleet.newer_than(&pull.members),
        }
    }

    /// Whether what bears this number is of another fleet.
    ///
    /// A daemon may be given an address that one of another fleet has left, and be told what those who still
    /// know the address believe. Versions of another store say nothing here: its text would be put in force, and
    /// keys of this fleet would be passed over as old.
    #[must_use]
    pub fn is_foreign(&self, fleet_id: Option<u64>) -> bool {
        self.fleet_id.zip(fleet_id).is_some_and(|(mine, theirs)| mine != theirs)
    }

    /// Takes in a peer's news.
    pub fn take_news(&mut self, news: wire::News) -> Changed {
        let mut changed = Changed::default();
        if self.is_foreign(news.fleet_id) {
            return changed;
        }
        self.fleet_id = self.fleet_id.or(news.fleet_id);
        if let Some(text) = news.config {
            changed.config = self.take_config(text);
        }
        for key in news.keys {
            changed.keys |= Arc::make_mut(&mut self.keys).merge(key);
        }
        if let Some(roster) = news.roster {
            changed.roster = self.take_roster(roster);
        }
        for member in news.members {
            changed.members |= self.fleet.take(member);
        }
        changed
    }

    /// Takes in objects read from the store under the shared prefix.
    ///
    /// They must come in the order of their versions, and complete from the last one taken: the
    /// keys' revision says that all keys up to it are known.
    pub fn take_objects(&mut self, mut objects: Vec<store::Object>) -> Changed {
        objects.sort_by_key(|object| object.version);
        let mut changed = Changed::default();
        for object in objects {
            if object.key == store::FLEET_KEY {
                self.fleet_id = object.value.parse().ok().or(self.fleet_id);
            } else if object.key == store::CONFIG_KEY {
                let text = wire::ConfigText { version: object.version, text: object.value };
                changed.config |= self.take_config(text);
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

    /// Takes in a text unless a newer one is known; a text with a mistake is remembered by its
    /// version and the last good one stays in force.
    pub fn take_config(&mut self, text: wire::ConfigText) -> bool {
        if text.version <= self.config_version() {
            return false;
        }
        match config::Config::parse(&text.text) {
            Ok(model) => {
                self.refused = None;
                self.config = Some(InForce {
                    version: text.version,
                    text: text.text.clone(),
                    model: Arc::new(model),
                });
            }
            Err(mistake) => {
                self.refused = Some(Refused { version: text.version, mistake });
            }
        }
        self.newest = Some(text);
        true
    }

    /// Takes in the platform's list unless a newer one is known.
    pub fn take_roster(&mut self, roster: platform::Roster) -> bool {
        if roster.revision <= self.roster.revision {
            return false;
        }
        self.roster = roster;
        true
    }

    /// The state as traffic threads use it.
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
            places: places(&self.fleet, &leaving),
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

/// Endpoints that take work, by region and service.
fn places(
    fleet: &membership::Fleet,
    leaving: &HashSet<&str>,
) -> HashMap<CompactString, Vec<membership::Place>> {
    let mut places: HashMap<CompactString, Vec<membership::Place>> = HashMap::new();
    for member in fleet.iter().filter(|member| member.state == membership::State::Ready) {
        if leaving.contains(member.id.as_str()) {
            continue;
        }
        for place in member.places() {
            if !leaving.contains(place.id.as_str()) {
                let service = place.service.clone();
                places.entry(place_key(&member.region, &service)).or_default().push(place);
            }
        }
    }
    places
}

fn place_key(region: &str, service: &str) -> CompactString {
    compact_str::format_compact!("{region}/{service}")
}

/// What traffic threads know; replaced whole with each change.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub config: Option<InForce>,
    pub keys: Arc<keys::Table>,
    /// Daemons and endpoints that the platform says are leaving.
    pub leaving: HashSet<CompactString>,
    places: HashMap<CompactString, Vec<membership::Place>>,
    /// Entries that take requests, in all regions.
    pub entries: usize,
}

impl Snapshot {
    /// Endpoints of a service in a region that take work.
    #[must_use]
    pub fn places(&self, region: &str, service: &str) -> &[membership::Place] {
        self.places.get(&place_key(region, service)).map_or(&[], Vec::as_slice)
    }

    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }
}
