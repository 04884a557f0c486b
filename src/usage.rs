//! Usage accounting by billing window, client account and service, with which usage is billed once.
//!
//! Each daemon keeps a usage sheet whose figures only grow. A window is sealed with the sum of all sheets
//! up to its end, minus what earlier windows sealed. Usage that arrives after the seal is therefore
//! billed in the next window, and sealed figures never change.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Number of a billing window: seconds since 1970 divided by the length of a window.
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

/// Client account and service that usage is counted for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Line {
    pub account: CompactString,
    pub service: CompactString,
}

/// Amount of usage.
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

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
        }
    }
}

/// Usage of one client account and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(flatten)]
    pub line: Line,
    #[serde(flatten)]
    pub figures: Figures,
}

/// Usage by client account and service.
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

    /// Returns the usage that exceeds `previous`.
    #[must_use]
    pub fn minus(&self, previous: &Self) -> Self {
        let lines = self
            .lines
            .iter()
            .map(|(line, figures)| {
                (
                    line.clone(),
                    figures.saturating_sub(previous.lines.get(line).copied().unwrap_or_default()),
                )
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

/// Number of windows that a sheet keeps separate; older ones are merged. A line takes about 85 bytes, so
/// 3,400 accounts in three windows fit into the platform's limit of one megabyte per value.
const SEPARATE_WINDOWS: usize = 3;

/// Usage that one daemon has counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet {
    windows: BTreeMap<Window, Totals>,
}

impl Sheet {
    /// Adds usage to a window.
    pub fn add(&mut self, window: Window, line: &Line, figures: Figures) {
        self.windows.entry(window).or_default().add(line, figures);
        while self.windows.len() > SEPARATE_WINDOWS {
            // Windows this old are already sealed or will be sealed together with the next one, so merging
            // the oldest into its successor only moves usage between windows covered by the same seal.
            let Some((_, oldest)) = self.windows.pop_first() else {
                return;
            };
            match self.windows.first_entry() {
                Some(mut next) => next.get_mut().merge(&oldest),
                None => return,
            }
        }
    }

    /// Returns all usage up to the end of a window.
    #[must_use]
    pub fn up_to(&self, window: Window) -> Totals {
        let mut totals = Totals::default();
        for (_, of_window) in self.windows.range(..=window) {
            totals.merge(of_window);
        }
        totals
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }
}

/// The final usage of a window, written once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    pub window: Window,
    /// Usage billed for this window.
    pub figures: Totals,
    /// Total usage sealed up to and including this window.
    pub cumulative: Totals,
    /// Identifies the write attempt.
    pub nonce: u64,
}

impl Sealed {
    /// Computes the usage of a window from all sheets and the seal of the previous window.
    #[must_use]
    pub fn compute(window: Window, sheets: &[Sheet], previous: Option<&Self>, nonce: u64) -> Self {
        let mut total = Totals::default();
        for sheet in sheets {
            total.merge(&sheet.up_to(window));
        }
        let empty = Totals::default();
        let before = previous.map_or(&empty, |sealed| &sealed.cumulative);
        let figures = total.minus(before);
        let mut cumulative = before.clone();
        cumulative.merge(&figures);
        Self { window, figures, cumulative, nonce }
    }

    /// Returns the report of this window, which is the same for every sender.
    #[must_use]
    pub fn report(&self, region: &str) -> Report {
        Report {
            region: CompactString::from(region),
            window: self.window,
            figures: self.figures.clone(),
        }
    }
}

/// Report of one window to the usage interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub region: CompactString,
    pub window: Window,
    pub figures: Totals,
}
