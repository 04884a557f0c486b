//! The bounded scheduling queue of one endpoint.
//!
//! The queue receives the jobs of all entries and decides which job starts next and which jobs are
//! refused. Priorities, guaranteed shares and fairness are enforced only here, next to the endpoint
//! whose slots are scarce. The current time is passed in; the queue has no clock.
//!
//! * Order: the class with the highest priority, unless a class is behind its guaranteed share; that
//!   class then goes first. Within a class, the client account with the least weighted service
//!   (see `fairness`); within an account, the job with the earliest latency target.
//! * Capacity: each class has reserved capacity; the rest is shared. When there is no capacity for
//!   a job, it evicts a job of the lowest unprotected class below its own, else a job of the account
//!   that has the most jobs waiting in its own class, else it is refused.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{config, fairness};

slotmap::new_key_type! {
    /// Identifies a waiting job.
    pub struct Ticket;
}

/// Scheduling parameters of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRule {
    /// Classes with a higher value go first.
    pub priority: u8,
    /// Jobs of a protected class are never evicted by jobs of other classes.
    pub protected: bool,
    pub guaranteed_ppm: u64,
}

impl Started {
    /// Configuration version of the queue that started the job. Progress and completion must be reported
    /// to that queue only.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl ClassRule {
    /// Returns the rules of all classes of a configuration, indexed by class key.
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

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifier assigned by the caller of the queue.
    pub id: u64,
    pub class: config::ClassKey,
    pub account: CompactString,
    pub share: u32,
    /// Expected service: prompt and output tokens.
    pub estimate_tokens: u64,
    /// Time at which the latency target is missed.
    pub target_at_ms: u64,
    /// Time at which the job is refused if it has not started.
    pub expires_at_ms: u64,
}

/// A job that has started, with the service charged for it.
#[derive(Clone, Debug)]
pub struct Started {
    pub job: Job,
    charge: fairness::Charge,
    /// Configuration version of the queue that started the job.
    version: u64,
    /// Backlog period of the class at the start. The class's `served_tokens` are only corrected while this
    /// period lasts.
    backlog_period: u64,
}

/// Result of [`Queue::push`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    Queued(Ticket),
    /// The job is queued; the contained job was evicted for it and has to be refused.
    QueuedEvicting(Ticket, Job),
    /// The queue has no capacity for the job.
    Refused(Job),
}

/// The waiting jobs of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    counters: fairness::Counters,
    accounts: HashMap<CompactString, BTreeSet<(u64, Ticket)>>,
    waiting: usize,
    /// Number of jobs for which this class has reserved capacity.
    reserved: usize,
    /// Value of `Queue::total_tokens` when the current backlog period began.
    since_tokens: u64,
    /// Service of this class in the current backlog period.
    served_tokens: u64,
    /// Number of the current backlog period, which begins when a job arrives at an empty class queue.
    backlog_period: u64,
}

/// The queue of one endpoint.
#[derive(Debug)]
pub struct Queue {
    version: u64,
    rules: Vec<ClassRule>,
    /// Class indices, highest priority first.
    order: Vec<usize>,
    classes: Vec<ClassQueue>,
    jobs: SlotMap<Ticket, Job>,
    expiries: BTreeMap<(u64, Ticket), ()>,
    /// Capacity for jobs of all classes beyond their reserved capacity.
    shared: usize,
    /// Service charged to all classes.
    total_tokens: u64,
    /// Jobs started since the last protected job arrived.
    starts_since_protected: u32,
}

/// One slot in 32 is kept free for protected jobs.
const HEADROOM_DIVISOR: usize = 32;
/// Endpoints with fewer slots keep none free.
const MIN_SLOTS_FOR_HEADROOM: usize = 8;
/// Number of job starts after the last protected arrival for which slots are kept free.
const HEADROOM_AFTER_PROTECTED_JOBS: u32 = 1_000;

impl Queue {
    /// Creates an empty queue for the given classes that holds about `capacity` jobs. `version` is the
    /// configuration version that the rules come from.
    #[must_use]
    pub fn new(version: u64, rules: Vec<ClassRule>, capacity: usize) -> Self {
        let mut order: Vec<usize> = (0..rules.len()).collect();
        order.sort_by_key(|class| std::cmp::Reverse(rules[*class].priority));
        let classes: Vec<ClassQueue> = rules
            .iter()
            .map(|rule| {
                let share = capacity as u64 * rule.guaranteed_ppm / config::PPM;
                ClassQueue { reserved: (share as usize).max(1), ..ClassQueue::default() }
            })
            .collect();
        let reserved: usize = classes.iter().map(|queue| queue.reserved).sum();
        Self {
            version,
            rules,
            order,
            classes,
            jobs: SlotMap::with_key(),
            expiries: BTreeMap::new(),
            shared: capacity.saturating_sub(reserved),
            total_tokens: 0,
            starts_since_protected: u32::MAX,
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

    /// Returns the number of waiting jobs of a class.
    #[must_use]
    pub fn waiting(&self, class: config::ClassKey) -> usize {
        self.classes[usize::from(class.0)].waiting
    }

    /// Estimates the number of waiting jobs that would start before a new job of this class and account.
    ///
    /// Accounts of a class take turns, so another account's jobs are counted only up to the number of
    /// turns that this account needs, weighted by the shares. If all of them were counted, an account
    /// that floods the queue would make the endpoint look too slow for the others, and their requests
    /// would be refused although they would start soon.
    #[must_use]
    pub fn jobs_ahead(&self, class: config::ClassKey, account: &str, share: u32) -> usize {
        let own_class = usize::from(class.0);
        let priority = self.rules[own_class].priority;
        let classes = self.rules.iter().zip(&self.classes).enumerate();
        let higher: usize = classes
            .filter(|(other, (rule, _))| *other != own_class && rule.priority >= priority)
            .map(|(_, (_, queue))| queue.waiting)
            .sum();
        let own = self.waiting_jobs(own_class, account);
        let turns = (own + 1) as u64;
        let others: u64 = self.classes[own_class]
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

    /// Adds a job, evicting another if necessary.
    pub fn push(&mut self, job: Job) -> PushOutcome {
        let class = usize::from(job.class.0);
        if self.rules[class].protected {
            self.starts_since_protected = 0;
        }
        if self.has_capacity(class) {
            return PushOutcome::Queued(self.insert(job));
        }
        let victim = self.lower_class_victim(class).or_else(|| self.same_class_victim(&job));
        match victim.and_then(|ticket| self.remove(ticket)) {
            Some(evicted) => PushOutcome::QueuedEvicting(self.insert(job), evicted),
            None => PushOutcome::Refused(job),
        }
    }

    /// Removes a waiting job, for example after its caller has cancelled it.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        let job = self.jobs.remove(ticket)?;
        self.expiries.remove(&(job.expires_at_ms, ticket));
        let queue = &mut self.classes[usize::from(job.class.0)];
        queue.waiting -= 1;
        queue.counters.leave(&job.account);
        if let Some(own) = queue.accounts.get_mut(&job.account) {
            own.remove(&(job.target_at_ms, ticket));
            if own.is_empty() {
                queue.accounts.remove(&job.account);
            }
        }
        Some(job)
    }

    /// Removes and returns the next job to start at an endpoint with `slots` slots, `running` of them in use.
    ///
    /// While protected jobs arrive, the last few slots are kept for them and for classes that are behind
    /// their guaranteed share. Running requests are never preempted; without this headroom a protected
    /// request, such as a hearing summary, would wait until a long request of a lower class ends.
    pub fn pop(&mut self, running: usize, slots: usize) -> Option<Started> {
        if running >= slots {
            return None;
        }
        let in_headroom = running + self.headroom(slots) >= slots;
        let class = self.class_behind_guarantee().or_else(|| self.highest_class(in_headroom))?;
        self.starts_since_protected = self.starts_since_protected.saturating_add(1);
        let ticket = self.head(class)?;
        let job = self.remove(ticket)?;
        let queue = &mut self.classes[class];
        let charge = queue.counters.start(&job.account, job.share, job.estimate_tokens);
        queue.served_tokens += job.estimate_tokens;
        self.total_tokens += job.estimate_tokens;
        Some(Started { version: self.version, backlog_period: queue.backlog_period, charge, job })
    }

    /// Removes and returns the jobs whose `expires_at_ms` has been reached.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Job> {
        let mut expired = Vec::new();
        while let Some(((at_ms, ticket), ())) = self.expiries.first_key_value() {
            if *at_ms > now_ms {
                break;
            }
            let ticket = *ticket;
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Returns the time at which the next job expires.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first_key_value().map(|((at_ms, _), ())| *at_ms)
    }

    /// Records the total service that a started job has received so far.
    pub fn progress(&mut self, started: &mut Started, tokens: u64) {
        let before = started.charge.tokens;
        let queue = &mut self.classes[usize::from(started.job.class.0)];
        queue.counters.progress(
            &started.job.account,
            started.job.share,
            &mut started.charge,
            tokens,
        );
        let added = started.charge.tokens - before;
        self.total_tokens += added;
        if queue.backlog_period == started.backlog_period {
            queue.served_tokens += added;
        }
    }

    /// Records the end of a started job and its total service.
    pub fn finish(&mut self, mut started: Started, tokens: u64) {
        self.progress(&mut started, tokens);
        let surplus = started.charge.tokens - tokens;
        let queue = &mut self.classes[usize::from(started.job.class.0)];
        queue.counters.finish(&started.job.account, started.job.share, started.charge, tokens);
        // `total_tokens` is not corrected downwards: it must never fall below the `since_tokens` of a
        // class.
        if queue.backlog_period == started.backlog_period {
            queue.served_tokens = queue.served_tokens.saturating_sub(surplus);
        }
    }

    /// Removes and returns all waiting jobs.
    pub fn drain(&mut self) -> Vec<Job> {
        let tickets: Vec<Ticket> = self.jobs.keys().collect();
        tickets.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    fn insert(&mut self, job: Job) -> Ticket {
        let class = usize::from(job.class.0);
        let account = job.account.clone();
        let (target_at_ms, expires_at_ms) = (job.target_at_ms, job.expires_at_ms);
        let ticket = self.jobs.insert(job);
        self.expiries.insert((expires_at_ms, ticket), ());
        let queue = &mut self.classes[class];
        if queue.waiting == 0 {
            queue.since_tokens = self.total_tokens;
            queue.served_tokens = 0;
            queue.backlog_period += 1;
        }
        queue.waiting += 1;
        queue.counters.wait(&account);
        queue.accounts.entry(account).or_default().insert((target_at_ms, ticket));
        ticket
    }

    /// Returns the next job of a class.
    fn head(&self, class: usize) -> Option<Ticket> {
        let queue = &self.classes[class];
        let account = queue.counters.next()?;
        queue.accounts.get(account)?.first().map(|(_, ticket)| *ticket)
    }

    /// Returns the number of slots to keep free for protected jobs.
    fn headroom(&self, slots: usize) -> usize {
        if self.starts_since_protected > HEADROOM_AFTER_PROTECTED_JOBS
            || slots < MIN_SLOTS_FOR_HEADROOM
        {
            return 0;
        }
        slots.div_ceil(HEADROOM_DIVISOR)
    }

    /// Returns the waiting class with the highest priority.
    fn highest_class(&self, only_protected: bool) -> Option<usize> {
        let waiting = |class: &&usize| {
            let eligible = !only_protected || self.rules[**class].protected;
            eligible && self.classes[**class].waiting > 0
        };
        let best = *self.order.iter().find(waiting)?;
        // Classes of equal priority are ordered by service received; otherwise the class that comes
        // first in the configuration would always go first.
        let priority = self.rules[best].priority;
        self.order
            .iter()
            .copied()
            .filter(|class| self.rules[*class].priority == priority)
            .filter(|class| waiting(&class))
            .min_by_key(|class| self.classes[*class].served_tokens)
    }

    /// Returns the class that is furthest behind its guaranteed share, if it is behind by at least the
    /// estimate of its next job.
    ///
    /// Without this, a class below one with unlimited demand would starve and its requests would only
    /// time out. The deficit grows with all service given while the class waits, so the class is served
    /// after a bounded amount of service to other classes.
    fn class_behind_guarantee(&self) -> Option<usize> {
        let deficits = (0..self.classes.len()).filter_map(|class| {
            let queue = &self.classes[class];
            let cost = self.jobs.get(self.head(class)?)?.estimate_tokens;
            let all = self.total_tokens - queue.since_tokens;
            let due = all as u128 * u128::from(self.rules[class].guaranteed_ppm)
                / u128::from(config::PPM);
            let deficit = due as i128 - i128::from(queue.served_tokens);
            (deficit >= i128::from(cost)).then_some((deficit, class))
        });
        deficits.max().map(|(_, class)| class)
    }

    fn has_capacity(&self, class: usize) -> bool {
        let queue = &self.classes[class];
        queue.waiting < queue.reserved || self.shared_used() < self.shared
    }

    fn shared_used(&self) -> usize {
        self.classes.iter().map(|queue| queue.waiting.saturating_sub(queue.reserved)).sum()
    }

    /// Returns a job of the lowest unprotected class below the given one that uses shared capacity.
    fn lower_class_victim(&self, class: usize) -> Option<Ticket> {
        let priority = self.rules[class].priority;
        let lower = self.order.iter().rev().copied().find(|lower| {
            let (rule, queue) = (&self.rules[*lower], &self.classes[*lower]);
            rule.priority < priority && !rule.protected && queue.waiting > queue.reserved
        })?;
        let largest_account = self.largest_account(lower)?;
        self.latest_job(lower, largest_account)
    }

    /// Returns a job of the account with the most waiting jobs in the new job's class, weighted by share,
    /// if the account of the new job would still have fewer.
    ///
    /// Without this, one account could fill the capacity of the class, and the few requests of other
    /// accounts would be refused on arrival.
    fn same_class_victim(&self, new_job: &Job) -> Option<Ticket> {
        let class = usize::from(new_job.class.0);
        let largest_account = self.largest_account(class)?;
        let own = self.waiting_jobs(class, &new_job.account) + 1;
        let waiting_jobs = self.waiting_jobs(class, largest_account);
        let largest_share = self.share_of(class, largest_account)?;
        let own_weighted = own as u64 * u64::from(largest_share);
        let largest_weighted = waiting_jobs as u64 * u64::from(new_job.share);
        (own_weighted < largest_weighted).then(|| self.latest_job(class, largest_account)).flatten()
    }

    /// Returns the account with the most waiting jobs in a class, weighted by share.
    fn largest_account(&self, class: usize) -> Option<&CompactString> {
        let queue = &self.classes[class];
        let weighted = |account: &CompactString, waiting_jobs: usize| {
            let share = self.share_of(class, account).unwrap_or(1);
            waiting_jobs as u64 * 1024 / u64::from(share.max(1))
        };
        queue
            .accounts
            .iter()
            .map(|(account, own)| (weighted(account, own.len()), account))
            .max()
            .map(|(_, account)| account)
    }

    /// Returns the number of waiting jobs of an account in a class.
    fn waiting_jobs(&self, class: usize, account: &str) -> usize {
        self.classes[class].accounts.get(account).map_or(0, BTreeSet::len)
    }

    fn share_of(&self, class: usize, account: &CompactString) -> Option<u32> {
        let (_, ticket) = self.classes[class].accounts.get(account)?.first()?;
        self.jobs.get(*ticket).map(|job| job.share)
    }

    /// Returns the job of an account with the latest latency target.
    fn latest_job(&self, class: usize, account: &CompactString) -> Option<Ticket> {
        self.classes[class].accounts.get(account)?.last().map(|(_, ticket)| *ticket)
    }
}
