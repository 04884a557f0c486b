//! The queue in front of one endpoint: which request starts next, and which is given up.
//!
//! Jobs of all entries come in; out come the next job to start, and the jobs to refuse. Priority,
//! guarantees and fairness are decided here and only here, where the scarce thing is. Time is an
//! argument; there is no clock.
//!
//! * Order: the class of the highest priority, unless a class is owed its guaranteed share; then
//!   that one. Within a class the client account with the least weighted service (`fairness`), and
//!   within an account the earliest latency target.
//! * Room: each class has some places of its own, the rest is common. A job that finds no place
//!   takes one from the lowest unprotected class below its own, else from the account of its own
//!   class that holds the most, else it is refused.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{config, fairness};

slotmap::new_key_type! {
    /// A waiting job.
    pub struct Ticket;
}

/// What the queue knows of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRule {
    /// Higher goes first.
    pub priority: u8,
    pub protected: bool,
    pub guaranteed_ppm: u64,
}

impl Started {
    /// Version of the queue this came out of; another queue must not be told of it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl ClassRule {
    /// The rules of all classes of a configuration, by class key.
    #[must_use]
    pub fn of(config: &config::Config) -> Vec<Self> {
        config
            .classes
            .iter()
            .map(|class| Self {
                priority: class.spec.priority,
                protected: class.spec.protected,
                guaranteed_ppm: class.spec.guaranteed_ppm,
            })
            .collect()
    }
}

/// A request as the queue sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The owner's own name for it.
    pub id: u64,
    pub class: config::ClassKey,
    pub account: CompactString,
    pub share: u32,
    /// Expected service: prompt and output.
    pub estimate_tokens: u64,
    /// When its latency target is missed.
    pub target_at_ms: u64,
    /// When it is given up.
    pub give_up_at_ms: u64,
}

/// A job that has started, with what it was charged.
#[derive(Clone, Debug)]
pub struct Started {
    pub job: Job,
    charge: fairness::Charge,
    /// The queue this came out of.
    version: u64,
    /// Tells whether the class's account of its share is still the one this job was charged to.
    backlog: u64,
}

/// What became of a job that was pushed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pushed {
    Waits(Ticket),
    /// It waits, in the place of this one, which is refused.
    WaitsInsteadOf(Ticket, Job),
    /// There is no place for it.
    Refused(Job),
}

#[derive(Debug, Default)]
struct Lane {
    counters: fairness::Counters,
    accounts: HashMap<CompactString, BTreeSet<(u64, Ticket)>>,
    waiting: usize,
    reserved: usize,
    /// The endpoint's whole service when the class last began to wait.
    since_tokens: u64,
    /// Service of this class since then.
    served_tokens: u64,
    /// Counts the times the class began to wait.
    backlog: u64,
}

/// The queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    version: u64,
    rules: Vec<ClassRule>,
    /// Class indices, highest priority first.
    order: Vec<usize>,
    lanes: Vec<Lane>,
    jobs: SlotMap<Ticket, Job>,
    give_up: BTreeMap<(u64, Ticket), ()>,
    common: usize,
    /// Service charged to all classes.
    total_tokens: u64,
    /// Jobs started since a protected one came.
    since_protected: u32,
}

/// One slot in so many is kept free for protected jobs; none at endpoints with few slots.
const HEADROOM_PART: usize = 32;
const LEAST_SLOTS_FOR_HEADROOM: usize = 8;
/// For so many starts after a protected job has come.
const PROTECTED_MEMORY_JOBS: u32 = 1_000;

impl Queue {
    /// An empty queue for these classes with this many places, made by a version of the
    /// configuration.
    #[must_use]
    pub fn new(version: u64, rules: Vec<ClassRule>, places: usize) -> Self {
        let mut order: Vec<usize> = (0..rules.len()).collect();
        order.sort_by_key(|class| std::cmp::Reverse(rules[*class].priority));
        let lanes: Vec<Lane> = rules
            .iter()
            .map(|rule| {
                let share = places as u64 * rule.guaranteed_ppm / config::PPM;
                Lane { reserved: (share as usize).max(1), ..Lane::default() }
            })
            .collect();
        let reserved: usize = lanes.iter().map(|lane| lane.reserved).sum();
        Self {
            version,
            rules,
            order,
            lanes,
            jobs: SlotMap::with_key(),
            give_up: BTreeMap::new(),
            common: places.saturating_sub(reserved),
            total_tokens: 0,
            since_protected: u32::MAX,
        }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Jobs of a class that wait.
    #[must_use]
    pub fn waiting(&self, class: config::ClassKey) -> usize {
        self.lanes[usize::from(class.0)].waiting
    }

    /// Jobs that would go before a new one of this class and account.
    ///
    /// Within the class accounts take turns, so of another account's jobs only as many go before as
    /// this account has itself, by their shares. Were all of them counted, a flooding account would
    /// make the endpoint look too slow for the others, who would be refused though their turn is
    /// near.
    #[must_use]
    pub fn ahead_of(&self, class: config::ClassKey, account: &str, share: u32) -> usize {
        let own_class = usize::from(class.0);
        let priority = self.rules[own_class].priority;
        let lanes = self.rules.iter().zip(&self.lanes).enumerate();
        let higher: usize = lanes
            .filter(|(other, (rule, _))| *other != own_class && rule.priority >= priority)
            .map(|(_, (_, lane))| lane.waiting)
            .sum();
        let own = self.held(own_class, account);
        let turns = (own + 1) as u64;
        let others: u64 = self.lanes[own_class]
            .accounts
            .iter()
            .filter(|(other, _)| *other != account)
            .map(|(other, jobs)| {
                let other_share = u64::from(self.share_of(own_class, other).unwrap_or(1));
                (jobs.len() as u64).min(turns * other_share.div_ceil(u64::from(share.max(1))))
            })
            .sum();
        higher + own + others as usize
    }

    /// Takes in a job, or says which one is refused.
    pub fn push(&mut self, job: Job) -> Pushed {
        let class = usize::from(job.class.0);
        if self.rules[class].protected {
            self.since_protected = 0;
        }
        if self.has_place(class) {
            return Pushed::Waits(self.insert(job));
        }
        let victim = self.lower_victim(class).or_else(|| self.hog_victim(&job));
        match victim.and_then(|ticket| self.remove(ticket)) {
            Some(evicted) => Pushed::WaitsInsteadOf(self.insert(job), evicted),
            None => Pushed::Refused(job),
        }
    }

    /// Takes out a job that its caller no longer wants.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(ticket)?;
        self.give_up.remove(&(job.give_up_at_ms, ticket));
        let lane = &mut self.lanes[usize::from(job.class.0)];
        lane.waiting -= 1;
        lane.counters.leave(&job.account);
        if let Some(own) = lane.accounts.get_mut(&job.account) {
            own.remove(&(job.target_at_ms, ticket));
            if own.is_empty() {
                lane.accounts.remove(&job.account);
            }
        }
        Some(job)
    }

    /// Takes out the next job to start at an endpoint with so many slots, so many of them taken.
    ///
    /// While protected jobs come, the last few slots are kept for them and for classes that are
    /// owed their share. A running request is never preempted; without this headroom a hearing
    /// summary would wait until one of the long requests of lower classes ends.
    pub fn pop(&mut self, running: usize, slots: usize) -> Option<Started> {
        if running >= slots {
            return None;
        }
        let in_headroom = running + self.headroom(slots) >= slots;
        let class = self.owed_class().or_else(|| self.highest_class(in_headroom))?;
        self.since_protected = self.since_protected.saturating_add(1);
        let ticket = self.head(class)?;
        let job = self.remove(ticket)?;
        let lane = &mut self.lanes[class];
        let charge = lane.counters.start(&job.account, job.share, job.estimate_tokens);
        lane.served_tokens += job.estimate_tokens;
        self.total_tokens += job.estimate_tokens;
        Some(Started { version: self.version, backlog: lane.backlog, charge, job })
    }

    /// Takes out the jobs whose time to be given up has come.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Job> {
        let mut expired = Vec::new();
        while let Some(((at_ms, ticket), ())) = self.give_up.first_key_value() {
            if *at_ms > now_ms {
                break;
            }
            let ticket = *ticket;
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// When [`Self::expire`] next has something to give up.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.give_up.first_key_value().map(|((at_ms, _), ())| *at_ms)
    }

    /// A started job has had this much service so far.
    pub fn progress(&mut self, started: &mut Started, tokens: u64) {
        let before = started.charge.tokens;
        let lane = &mut self.lanes[usize::from(started.job.class.0)];
        lane.counters.progress(
            &started.job.account,
            started.job.share,
            &mut started.charge,
            tokens,
        );
        let more = started.charge.tokens - before;
        self.total_tokens += more;
        if lane.backlog == started.backlog {
            lane.served_tokens += more;
        }
    }

    /// A started job has ended with this much service in all.
    pub fn finish(&mut self, mut started: Started, tokens: u64) {
        self.progress(&mut started, tokens);
        let back = started.charge.tokens - tokens;
        let lane = &mut self.lanes[usize::from(started.job.class.0)];
        lane.counters.finish(&started.job.account, started.job.share, started.charge, tokens);
        // The endpoint's whole service is not taken back: it only ever grows, so that no class's
        // start mark can lie above it.
        if lane.backlog == started.backlog {
            lane.served_tokens = lane.served_tokens.saturating_sub(back);
        }
    }

    /// Takes out everything that waits.
    pub fn drain(&mut self) -> Vec<Job> {
        let tickets: Vec<Ticket> = self.jobs.keys().collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    fn insert(&mut self, job: Job) -> Ticket {
        let class = usize::from(job.class.0);
        let account = job.account.clone();
        let (target_at_ms, give_up_at_ms) = (job.target_at_ms, job.give_up_at_ms);
        let ticket = self.jobs.insert(job);
        self.give_up.insert((give_up_at_ms, ticket), ());
        let lane = &mut self.lanes[class];
        if lane.waiting == 0 {
            lane.since_tokens = self.total_tokens;
            lane.served_tokens = 0;
            lane.backlog += 1;
        }
        lane.waiting += 1;
        lane.counters.wait(&account);
        lane.accounts.entry(account).or_default().insert((target_at_ms, ticket));
        ticket
    }

    fn head(&self, class: usize) -> Option<Ticket> {
        let lane = &self.lanes[class];
        let account = lane.counters.next()?;
        lane.accounts.get(account)?.first().map(|(_, ticket)| *ticket)
    }

    fn headroom(&self, slots: usize) -> usize {
        if self.since_protected > PROTECTED_MEMORY_JOBS || slots < LEAST_SLOTS_FOR_HEADROOM {
            return 0;
        }
        slots.div_ceil(HEADROOM_PART)
    }

    fn highest_class(&self, only_protected: bool) -> Option<usize> {
        let waiting = |class: &&usize| {
            let eligible = !only_protected || self.rules[**class].protected;
            eligible && self.lanes[**class].waiting > 0
        };
        let best = *self.order.iter().find(waiting)?;
        // Classes of equal priority share by service received, else the first in the text would
        // always go before the others.
        let priority = self.rules[best].priority;
        self.order
            .iter()
            .copied()
            .filter(|class| self.rules[*class].priority == priority)
            .filter(|class| waiting(&class))
            .min_by_key(|class| self.lanes[*class].served_tokens)
    }

    /// The class furthest behind its guaranteed share by at least its next job.
    ///
    /// Without this a class below one with endless demand would wait forever; its caller would see
    /// nothing but time-outs. The debt grows with all service given while the class waits, so it is
    /// paid after a bounded amount of other classes' service.
    fn owed_class(&self) -> Option<usize> {
        let debts = (0..self.lanes.len()).filter_map(|class| {
            let lane = &self.lanes[class];
            let cost = self.jobs.get(self.head(class)?)?.estimate_tokens;
            let all = self.total_tokens - lane.since_tokens;
            let due = all as u128 * u128::from(self.rules[class].guaranteed_ppm)
                / u128::from(config::PPM);
            let owed = due as i128 - i128::from(lane.served_tokens);
            (owed >= i128::from(cost)).then_some((owed, class))
        });
        debts.max().map(|(_, class)| class)
    }

    fn has_place(&self, class: usize) -> bool {
        let lane = &self.lanes[class];
        lane.waiting < lane.reserved || self.common_used() < self.common
    }

    fn common_used(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.saturating_sub(lane.reserved)).sum()
    }

    /// A job in a common place of the lowest unprotected class below the given one.
    fn lower_victim(&self, class: usize) -> Option<Ticket> {
        let priority = self.rules[class].priority;
        let lower = self.order.iter().rev().copied().find(|lower| {
            let (rule, lane) = (&self.rules[*lower], &self.lanes[*lower]);
            rule.priority < priority && !rule.protected && lane.waiting > lane.reserved
        })?;
        let hog = self.hog(lower)?;
        self.last_of(lower, hog)
    }

    /// A job of the account that holds most places of the newcomer's class, if the newcomer's own
    /// account holds clearly fewer.
    ///
    /// Without this one account's flood would fill the class's places, and the others' requests,
    /// few as they are, would be refused at the door.
    fn hog_victim(&self, newcomer: &Job) -> Option<Ticket> {
        let class = usize::from(newcomer.class.0);
        let hog = self.hog(class)?;
        let own = self.held(class, &newcomer.account) + 1;
        let held = self.held(class, hog);
        let hog_share = self.share_of(class, hog)?;
        let own_weighted = own as u64 * u64::from(hog_share);
        let hog_weighted = held as u64 * u64::from(newcomer.share);
        (own_weighted < hog_weighted).then(|| self.last_of(class, hog)).flatten()
    }

    fn hog(&self, class: usize) -> Option<&CompactString> {
        let lane = &self.lanes[class];
        let weighted = |account: &CompactString, held: usize| {
            let share = self.share_of(class, account).unwrap_or(1);
            held as u64 * 1024 / u64::from(share.max(1))
        };
        lane.accounts
            .iter()
            .map(|(account, own)| (weighted(account, own.len()), account))
            .max()
            .map(|(_, account)| account)
    }

    fn held(&self, class: usize, account: &str) -> usize {
        self.lanes[class].accounts.get(account).map_or(0, BTreeSet::len)
    }

    fn share_of(&self, class: usize, account: &CompactString) -> Option<u32> {
        let (_, ticket) = self.lanes[class].accounts.get(account)?.first()?;
        self.jobs.get(*ticket).map(|job| job.share)
    }

    fn last_of(&self, class: usize, account: &CompactString) -> Option<Ticket> {
        self.lanes[class].accounts.get(account)?.last().map(|(_, ticket)| *ticket)
    }
}
