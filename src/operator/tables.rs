//! Status and stories as text for a person.

use crate::{admin, explain};

pub(super) fn status_text(status: &admin::Status) -> String {
    let mut text = format!(
        "{} in {}: {}, store {}\nconfiguration {}, keys {} (revision {}), list {}",
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
                why => format!("{} ({}) OUT: {why}", endpoint.id, endpoint.service),
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

pub(super) fn story_text(story: &explain::RequestRecord, entry: &str) -> String {
    let mut text = format!(
        "request {} by entry {entry}\n  account {}, key {}, class {}, service {}, configuration {}\n  trace {}",
        story.request,
        story.account,
        story.key,
        story.class,
        story.service,
        story.config_version,
        story.trace_id,
    );
    for (number, attempt) in story.attempts.iter().enumerate() {
        text.push_str(&format!("\n  try {}:", number + 1));
        for asked in &attempt.asked {
            let offer = match asked.first_token_ms {
                Some(wait_ms) => format!("first token in {wait_ms} ms"),
                None => "no answer".to_owned(),
            };
            let prefix = if asked.knows_prefix { ", knows the prompt's head" } else { "" };
            text.push_str(&format!(
                "\n    asked {} in {}: {offer}{prefix}",
                asked.endpoint, asked.zone
            ));
        }
        let chosen = attempt.chosen.as_deref().unwrap_or("none");
        text.push_str(&format!("\n    chose {chosen}: {}", attempt.outcome));
    }
    let first = story.first_token_ms.map_or("none".to_owned(), |ms| format!("after {ms} ms"));
    let queue = story.queue_ms.map_or("unknown".to_owned(), |ms| format!("{ms} ms"));
    text.push_str(&format!(
        "\n  waited {queue} at the endpoint, first token {first}, {} tokens, {} bytes, {} ms in all\n  status {}, outcome {}{}",
        story.tokens,
        story.body_bytes,
        story.total_ms,
        story.status,
        story.outcome,
        if story.ran.is_empty() { String::new() } else { format!(", ran: {}", story.ran) },
    ));
    text
}
