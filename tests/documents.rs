//! Consistency of documents and sources: names of the platform, metrics and log messages.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn sources(folder: &str) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    let mut folders = vec![root().join(folder)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|ending| ending == "rs") {
                let text = fs::read_to_string(&path).expect("a source");
                found.push((path, text));
            }
        }
    }
    found
}

fn document(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("a document")
}

/// Returns the first quoted text after each occurrence of `before`, also across line ends.
fn quoted_after(text: &str, before: &str) -> Vec<String> {
    let pieces = text.split(before).skip(1);
    pieces.filter_map(|piece| piece.split('"').nth(1).map(str::to_owned)).collect()
}

/// Returns the platform's names on the wire and in its settings.
fn platform_names() -> BTreeSet<String> {
    let headers = document("platform/src/headers.rs");
    let quoted = headers.split('"').skip(1).step_by(2).map(str::to_owned);
    let of_platform = quoted.filter(|name| name.starts_with("x-") || name.starts_with("kv-"));
    let mut names: BTreeSet<String> = of_platform.filter(|name| name != "x-request-id").collect();
    for name in ["briarwinch/objects", "BRIARWINCH_BOOT", "machine_class", "as_of", "has_more"] {
        names.insert(name.to_owned());
    }
    names
}

#[test]
fn names_of_the_platform_occur_in_its_folder_only() {
    let names = platform_names();
    assert!(names.len() > 15, "{names:?}");
    for (path, text) in sources("src") {
        let lower = text.to_lowercase();
        for name in &names {
            let found = lower.contains(&name.to_lowercase());
            assert!(!found, "{} holds `{name}`", path.display());
        }
    }
}

#[test]
fn the_platform_folder_has_a_bounded_number_of_lines() {
    let lines: usize = sources("platform/src").iter().map(|(_, text)| text.lines().count()).sum();
    assert!(lines < 2_500, "{lines} lines");
}

#[test]
fn every_metric_is_documented() {
    let metrics = document("docs/METRICS.md");
    for (path, text) in sources("src") {
        for kind in ["metrics::counter!(", "metrics::gauge!(", "metrics::histogram!("] {
            for name in quoted_after(&text, kind) {
                assert!(metrics.contains(&format!("`{name}`")), "{}: {name}", path.display());
            }
        }
    }
}

#[test]
fn every_log_message_of_a_gateway_is_documented() {
    let operations = document("docs/OPERATIONS.md");
    for folder in ["src/gateway", "platform/src"] {
        for (path, text) in sources(folder) {
            for level in ["slog::debug!(", "slog::info!(", "slog::warn!(", "slog::error!("] {
                for message in quoted_after(&text, level) {
                    let listed = operations.contains(&format!("`{message}`"));
                    assert!(listed, "{}: {message}", path.display());
                }
            }
        }
    }
}
