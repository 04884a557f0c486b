//! Renders the status, the duties and the record of a request as text.

use crate::{admin, explain};

pub(super) fn status_text(status: &admin::Status) -> String {
    let mut text = format!(
        "{} in {}: {}, store {}\nconfiguration {}, keys {} (revision {}), instance list {}",
        status.daemon,
        status.zone,
        match (status.ready, status.draining) {
            (_, true) => "draining",
            (true, false) => "ready",
            (false, false) => "starting",
        },
        if status.store_up { "up" } else { "down" },
        status.config_version,
        status.keys,
        status.keys_revision,
        status.roster_revision,
    );
    if let Some(refused) = &status.config_refused {
        text.push_str(&format!("\nconfiguration refused: {refused}"));
    }
    text.push_str(&format!(
        "\n\n{:<20} {:<6} {:<14} {:<9} endpoints",
        "daemon", "role", "zone", "state"
    ));
    for member in &status.members {
        let endpoints: Vec<String> = member
            .endpoints
            .iter()
            .map(|endpoint| match endpoint.out_because.as_str() {
                "" => format!("{} ({})", endpoint.id, endpoint.service),
                reason => format!("{} ({}) OUT: {reason}", endpoint.id, endpoint.service),
            })
            .collect();
        text.push_str(&format!(
            "\n{:<20} {:<6} {:<14} {:<9} {}",
            member.id,
            member.role,
            member.zone,
            member.state,
            endpoints.join(", ")
        ));
    }
    text.push_str("\n\n");
    text.push_str(&duties_text(status));
    text
}

pub(super) fn duties_text(status: &admin::Status) -> String {
    let mut text = format!("{:<32} {:<16} {:<7} note", "duty", "holder", "epoch");
    for duty in &status.duties {
        text.push_str(&format!(
            "\n{:<32} {:<16} {:<7} {}",
            duty.duty, duty.holder, duty.epoch, duty.note
        ));
    }
    text
}

pub(super) fn record_text(record: &explain::RequestRecord, entry: &str) -> String {
    let mut text = format!(
        "request {} by entry {entry}\n  account {}, key {}, class {}, service {}, configuration {}\n  trace {}",
        record.request,
        record.account,
        record.key,
        record.class,
        record.service,
        record.config_version,
        record.trace_id,
    );
    for (number, attempt) in record.attempts.iter().enumerate() {
        text.push_str(&format!("\n  attempt {}:", number + 1));
        for asked in &attempt.asked {
            let offer = match asked.first_token_ms {
                Some(wait_ms) => format!("first token expected in {wait_ms} ms"),
                None => "no answer".to_owned(),
            };
            let prefix = if asked.knows_prefix { ", has the prompt's prefix cached" } else { "" };
            text.push_str(&format!(
                "\n    asked {} in {}: {offer}{prefix}",
                asked.endpoint, asked.zone
            ));
        }
        let chosen = attempt.chosen.as_deref().unwrap_or("none");
        text.push_str(&format!("\n    chose {chosen}: {}", attempt.outcome));
    }
    let first = record.first_token_ms.map_or("none".to_owned(), |ms| format!("after {ms} ms"));
    let queue = record.queue_ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    text.push_str(&format!(
        "\n  queued for {queue} at the endpoint, first token {first}, {} tokens, {} bytes, {} ms in total\n  status {}, outcome {}{}",
        record.tokens,
        record.body_bytes,
        record.total_ms,
        record.status,
        record.outcome,
        if record.ran.is_empty() { String::new() } else { format!(", ran: {}", record.ran) },
    ));
    text
}
