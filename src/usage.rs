//! Usage: what ran, by billing window, client account and service; and how it is billed once.
//!
//! Each daemon keeps a sheet that only grows. The sum of all sheets up to the end of a window, less
//! what former windows sealed, is what the window seals. So usage that arrives after the seal falls
//! into the next window by itself, and no figure is ever changed.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of a billing window: seconds since 1970 over the window's length.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct Window(pub u64);

/// For whom and what.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Line {
    pub account: CompactString,
    pub service: CompactString,
}

/// How much.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
)]
pub struct Figures {
    pub requests: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
}

impl Figures {
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    fn less(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// One line with its figures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(flatten)]
    pub line: Line,
    #[serde(flatten)]
    pub figures: Figures,
}

/// Figures by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Totals {
    lines: BTreeMap<Line, Figures>,
}

impl From<Vec<Entry>> for Totals {
    fn from(entries: Vec<Entry>) -> Self {
        let mut totals = Self::default();
        for entry in entries {
            totals.add(&entry.line, entry.figures);
        }
        totals
    }
}

impl From<Totals> for Vec<Entry> {
    fn from(totals: Totals) -> Self {
        totals.lines.into_iter().map(|(line, figures)| Entry { line, figures }).collect()
    }
}

impl Totals {
    pub fn add(&mut self, line: &Line, figures: Figures) {
        *self.lines.entry(line.clone()).or_default() += figures;
    }

    pub fn merge(&mut self, other: &Self) {
        for (line, figures) in &other.lines {
            self.add(line, *figures);
        }
    }

    /// What is here beyond `former`.
    #[must_use]
    pub fn minus(&self, former: &Self) -> Self {
        let lines = self
            .lines
            .iter()
            .map(|(line, figures)| {
                (line.clone(), figures.less(former.lines.get(line).copied().unwrap_or_default()))
            })
            .filter(|(_, figures)| !figures.is_zero())
            .collect();
        Self { lines }
    }

    #[must_use]
    pub fn sum(&self) -> Figures {
        self.lines.values().fold(Figures::default(), |sum, figures| sum + *figures)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Line, &Figures)> {
        self.lines.iter()
    }
}

/// Windows that a sheet keeps apart; older ones are folded together. A line takes about 85 bytes, so
/// 3,400 accounts in three windows stay below the megabyte that the platform holds in a value.
const WINDOWS_APART: usize = 3;

/// What one daemon has seen run since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    windows: BTreeMap<Window, Totals>,
}

impl Sheet {
    /// Counts usage into a window.
    pub fn add(&mut self, window: Window, line: &Line, figures: Figures) {
        self.windows.entry(window).or_default().add(line, figures);
        while self.windows.len() > WINDOWS_APART {
            // Windows this old are sealed or are sealed together with the next: folding the oldest
            // into its successor moves its figures between windows that one seal covers anyway.
            let Some((_, oldest)) = self.windows.pop_first() else {
                return;
            };
            match self.windows.first_entry() {
                Some(mut next) => next.get_mut().merge(&oldest),
                None => return,
            }
        }
    }

    /// All that ran up to the end of a window.
    #[must_use]
    pub fn up_to(&self, window: Window) -> Totals {
        let mut totals = Totals::default();
        for (_, ran) in self.windows.range(..=window) {
            totals.merge(ran);
        }
        totals
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }
}

/// The final figures of a window, written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    pub window: Window,
    /// What the window is billed.
    pub figures: Totals,
    /// All that was sealed up to and with this window.
    pub cumulative: Totals,
    /// Tells one writer's attempt from another's.
    pub nonce: u64,
}

impl Sealed {
    /// The figures of a window out of all sheets and the seal before it.
    #[must_use]
    pub fn compute(window: Window, sheets: &[Sheet], former: Option<&Self>, nonce: u64) -> Self {
        let mut ran = Totals::default();
        for sheet in sheets {
            ran.merge(&sheet.up_to(window));
        }
        let empty = Totals::default();
        let before = former.map_or(&empty, |sealed| &sealed.cumulative);
        let figures = ran.minus(before);
        let mut cumulative = before.clone();
        cumulative.merge(&figures);
        Self { window, figures, cumulative, nonce }
    }

    /// The report of this window: the same whoever sends it.
    #[must_use]
    pub fn report(&self, region: &str) -> Report {
        Report {
            region: CompactString::from(region),
            window: self.window,
            figures: self.figures.clone(),
        }
    }
}

/// What the usage interface is told of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub region: CompactString,
    pub window: Window,
    pub figures: Totals,
}
