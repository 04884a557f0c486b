//! A store in memory that loses answers, goes down and delays writes, as told by a script.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use briarwinch::store::{Condition, Failure, Listing, Object, ObjectStore};

/// What happens to the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Served,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost on its way.
    Lost,
    /// It is lost for now and takes effect at the next [`Store::settle`], if it still can.
    Delayed,
    Down,
}

#[derive(Clone, Debug)]
struct Delayed {
    key: String,
    value: Option<String>,
    if_version: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    objects: RefCell<BTreeMap<String, (u64, String)>>,
    revision: Cell<u64>,
    fates: RefCell<Vec<Fate>>,
    delayed: RefCell<Vec<Delayed>>,
}

impl Store {
    /// Sets the fates of the next calls; after them all are served.
    pub fn script(&self, fates: &[Fate]) {
        *self.fates.borrow_mut() = fates.iter().rev().copied().collect();
    }

    fn fate(&self) -> Fate {
        self.fates.borrow_mut().pop().unwrap_or(Fate::Served)
    }

    /// Lets delayed writes arrive.
    pub fn settle(&self) {
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
        match self.fate() {
            Fate::Served => self.write(key, value, if_version),
            Fate::AnswerLost => {
                let _ = self.write(key, value, if_version);
                Err(Failure::NoAnswer)
            }
            Fate::Lost => Err(Failure::NoAnswer),
            Fate::Delayed => {
                let key = key.to_owned();
                self.delayed.borrow_mut().push(Delayed { key, value, if_version });
                Err(Failure::NoAnswer)
            }
            Fate::Down => Err(Failure::Down),
        }
    }

    fn answers(&self) -> Result<(), Failure> {
        match self.fate() {
            Fate::Served => Ok(()),
            Fate::AnswerLost | Fate::Lost | Fate::Delayed => Err(Failure::NoAnswer),
            Fate::Down => Err(Failure::Down),
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

/// Runs a future of the fake store, which never waits.
pub fn now<T>(future: impl Future<Output = T>) -> T {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.as_mut().poll(&mut context) {
        std::task::Poll::Ready(value) => value,
        std::task::Poll::Pending => unreachable!("the fake store answers at once"),
    }
}
