//! Extraction of a request's log lines from recorded logs.

use briarwinch::story::{self, Line};
use expect_test::expect;

const LOGS: &str = r#"
{"msg":"sent","level":"DEBG","ts":"2026-01-15T08:10:59.30Z","daemon":"entry-2","request":"r-1","endpoint":"b","attempt":2}
   7.0 entry-1 {"msg":"sent","level":"DEBG","ts":"2026-01-15T08:10:59.10Z","daemon":"entry-1","request":"r-1","endpoint":"a","attempt":1}
no line at all
{"msg":"endpoint gone","level":"INFO","ts":"2026-01-15T08:10:59.20Z","daemon":"entry-1","endpoint":"a"}
{"msg":"endpoint gone","level":"INFO","ts":"2026-01-15T08:10:59.20Z","daemon":"entry-9","endpoint":"a"}
{"msg":"sent","level":"DEBG","ts":"2026-01-15T08:10:59.15Z","daemon":"entry-1","request":"r-2","endpoint":"c"}
{"msg":"refused","level":"INFO","ts":"2026-01-15T08:10:59.25Z","daemon":"entry-1","request":"r-1","status":502,"detail":""}
{"half a line
"#;

fn story(request: &str, around: bool) -> String {
    let lines = LOGS.lines().filter_map(Line::parse).collect();
    story::request_lines(lines, request, around).iter().map(|line| format!("{line}\n")).collect()
}

#[test]
fn lines_of_a_request_are_ordered_across_processes() {
    expect![[r#"
        2026-01-15T08:10:59.10Z entry-1 sent attempt=1 endpoint=a
        2026-01-15T08:10:59.25Z entry-1 refused status=502
        2026-01-15T08:10:59.30Z entry-2 sent attempt=2 endpoint=b
    "#]]
    .assert_eq(&story("r-1", false));
}

#[test]
fn fleet_events_of_the_involved_processes_are_included() {
    expect![[r#"
        2026-01-15T08:10:59.10Z entry-1 sent attempt=1 endpoint=a
        2026-01-15T08:10:59.20Z entry-1 endpoint gone endpoint=a
        2026-01-15T08:10:59.25Z entry-1 refused status=502
        2026-01-15T08:10:59.30Z entry-2 sent attempt=2 endpoint=b
    "#]]
    .assert_eq(&story("r-1", true));
}

#[test]
fn an_unknown_request_has_no_lines() {
    assert_eq!(story("r-3", true), "");
}
