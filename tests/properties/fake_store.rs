//! An in-memory store that loses answers, fails and delays writes according to a script.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use briarwinch::store::{Condition, Failure, Listing, Object, ObjectStore};

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Served,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost before it takes effect.
    Lost,
    /// The call is not answered; a write takes effect at the next [`Store::apply_delayed`] if its version
    /// still matches.
    Delayed,
    Down,
}

#[derive(Clone, Debug)]
struct Delayed {
    key: String,
    value: Option<String>,
    if_version: u64,
}

/// In-memory object store with scripted faults.
#[derive(Debug, Default)]
pub struct Store {
    objects: RefCell<BTreeMap<String, (u64, String)>>,
    revision: Cell<u64>,
    outcomes: RefCell<Vec<CallOutcome>>,
    delayed: RefCell<Vec<Delayed>>,
}

impl Store {
    /// Sets the outcomes of the next calls; later calls are served.
    pub fn script(&self, outcomes: &[CallOutcome]) {
        *self.outcomes.borrow_mut() = outcomes.iter().rev().copied().collect();
    }

    fn next_outcome(&self) -> CallOutcome {
        self.outcomes.borrow_mut().pop().unwrap_or(CallOutcome::Served)
    }

    /// Applies the delayed writes.
    pub fn apply_delayed(&self) {
        for write in self.delayed.take() {
            let _ = self.write(&write.key, write.value, write.if_version);
        }
    }

    pub fn write(&self, key: &str, value: Option<String>, if_version: u64) -> Result<u64, Failure> {
        let mut objects = self.objects.borrow_mut();
        if objects.get(key).map_or(0, |(version, _)| *version) != if_version {
            return Err(Failure::Conflict);
        }
        self.revision.set(self.revision.get() + 1);
        match value {
            Some(value) => objects.insert(key.to_owned(), (self.revision.get(), value)),
            None => objects.remove(key),
        };
        Ok(self.revision.get())
    }

    fn change(&self, key: &str, value: Option<String>, if_version: u64) -> Result<u64, Failure> {
        match self.next_outcome() {
            CallOutcome::Served => self.write(key, value, if_version),
            CallOutcome::AnswerLost => {
                let _ = self.write(key, value, if_version);
                Err(Failure::NoAnswer)
            }
            CallOutcome::Lost => Err(Failure::NoAnswer),
            CallOutcome::Delayed => {
                let key = key.to_owned();
                self.delayed.borrow_mut().push(Delayed { key, value, if_version });
                Err(Failure::NoAnswer)
            }
            CallOutcome::Down => Err(Failure::Down),
        }
    }

    fn answers(&self) -> Result<(), Failure> {
        match self.next_outcome() {
            CallOutcome::Served => Ok(()),
            CallOutcome::AnswerLost | CallOutcome::Lost | CallOutcome::Delayed => {
                Err(Failure::NoAnswer)
            }
            CallOutcome::Down => Err(Failure::Down),
        }
    }
}

impl ObjectStore for Store {
    async fn get(&self, key: &str) -> Result<Option<Object>, Failure> {
        self.answers()?;
        let objects = self.objects.borrow();
        Ok(objects.get(key).map(|(version, value)| Object {
            key: key.into(),
            version: *version,
            value: value.clone(),
        }))
    }

    async fn put(&self, key: &str, value: String, condition: Condition) -> Result<u64, Failure> {
        let if_version = match condition {
            Condition::Absent => 0,
            Condition::Version(version) => version,
        };
        self.change(key, Some(value), if_version)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), Failure> {
        self.change(key, None, version).map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Failure> {
        self.answers()?;
        let objects = self.objects.borrow();
        let found = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let objects = found
            .map(|(key, (version, value))| Object {
                key: key.as_str().into(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        Ok(Listing { revision: self.revision.get(), objects })
    }
}

/// Runs a future that only waits for the fake store, which answers at once.
pub fn now<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.as_mut().poll(&mut context) {
        std::task::Poll::Ready(value) => value,
        std::task::Poll::Pending => unreachable!("the fake store answers at once"),
    }
}
