//! An open-loop load generator with Poisson arrivals. It checks every answer token by token and reports
//! latencies, refusals and attainment by class.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ntex::client;
use ntex::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::plan::{self, Kind, Line};
use crate::tokens;

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Entries, as `http://IP:PORT`; requests are sent to them round robin
    #[arg(long, required = true, value_delimiter = ',')]
    target: Vec<String>,
    /// Keys, one per client account; each request uses a random one
    #[arg(long, value_delimiter = ',')]
    key: Vec<String>,
    #[arg(long)]
    plan: PathBuf,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Average requests per second
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Factor on the rate during the third quarter of the duration
    #[arg(long, default_value_t = 1.0)]
    burst: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON line per class instead of the table
    #[arg(long)]
    json: bool,
}

/// Results of the requests of one class.
#[derive(Debug)]
struct ClassStats {
    sent: u64,
    whole: u64,
    wrong: u64,
    refused: BTreeMap<String, u64>,
    /// Complete answers whose first token met the target of their plan line.
    in_time: u64,
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    /// Tokens of the answers counted in `in_time`.
    goodput_tokens: u64,
}

impl Default for ClassStats {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
        Self {
            sent: 0,
            whole: 0,
            wrong: 0,
            refused: BTreeMap::new(),
            in_time: 0,
            first_us: histogram(),
            gap_us: histogram(),
            goodput_tokens: 0,
        }
    }
}

/// The result of one request.
struct Outcome {
    end: End,
    first: Option<Duration>,
    gaps: Vec<Duration>,
    tokens: u32,
}

enum End {
    /// The answer is complete and correct.
    Complete,
    /// The answer is missing, incomplete or differs from the expected one; the text says how.
    Wrong(String),
    /// The request was refused; the text is the error code or, without one, the HTTP status.
    Refused(String),
}

type StatsByClass = Rc<RefCell<BTreeMap<String, ClassStats>>>;

pub async fn run(options: Options) -> anyhow::Result<()> {
    let plan = plan::load(&options.plan)?;
    let http = client::ClientBuilder::new()
        .connector::<()>(client::Connector::new().limit(8192))
        .response_timeout(Millis(120_000))
        .build(ntex::SharedCfg::default())
        .await
        .map_err(|error| anyhow::anyhow!("{error:?}"))?;
    let mut random = StdRng::seed_from_u64(options.seed);
    eprintln!("load: seed {}", options.seed);
    let stats_by_class: StatsByClass = Rc::default();
    let begin = Instant::now();
    let mut at_s = 0.0;
    let mut tasks = Vec::new();
    for number in 0_u64.. {
        let in_burst = at_s > options.seconds * 0.5 && at_s < options.seconds * 0.75;
        let rate = if in_burst { options.rate * options.burst } else { options.rate };
        at_s += -(1.0 - random.random::<f64>()).ln() / rate;
        if at_s >= options.seconds {
            break;
        }
        let line = choose(&plan, &mut random).clone();
        let target = options.target[number as usize % options.target.len()].clone();
        let key = match options.key.len() {
            0 => None,
            count => Some(options.key[random.random_range(0..count)].clone()),
        };
        let prompt = prompt(options.seed, number, &line);
        let wait = Duration::from_secs_f64(at_s).saturating_sub(begin.elapsed());
        tokio::time::sleep(wait).await;
        let (http, stats_by_class) = (http.clone(), Rc::clone(&stats_by_class));
        tasks.push(tokio::task::spawn_local(async move {
            stats_by_class.borrow_mut().entry(line.class.clone()).or_default().sent += 1;
            let outcome = send(&http, &target, key.as_deref(), &line, &prompt).await;
            record_outcome(&stats_by_class, &line, &outcome);
        }));
    }
    for task in tasks {
        task.await?;
    }
    print_report(&options, &stats_by_class.borrow());
    Ok(())
}

fn choose<'a>(plan: &'a plan::Plan, random: &mut StdRng) -> &'a Line {
    let total: f64 = plan.lines.iter().map(|line| line.share).sum();
    let mut point = random.random::<f64>() * total;
    for line in &plan.lines {
        point -= line.share;
        if point <= 0.0 {
            return line;
        }
    }
    &plan.lines[plan.lines.len() - 1]
}

/// A prompt that is unique to the request, so that its answer is unique as well.
fn prompt(seed: u64, number: u64, line: &Line) -> String {
    let chars = match line.kind {
        Kind::Chat { prompt_chars, .. } => prompt_chars,
        Kind::Lookup { .. } | Kind::Payment { .. } => 0,
    };
    let mut text = format!("{} {seed}-{number} ", line.class);
    while text.len() < chars {
        text.push_str("the record of the morning session ");
    }
    text
}

async fn send(
    http: &client::Client,
    target: &str,
    key: Option<&str>,
    line: &Line,
    prompt: &str,
) -> Outcome {
    let mut outcome = Outcome { end: End::Complete, first: None, gaps: Vec::new(), tokens: 0 };
    outcome.end = match exchange(http, target, key, line, prompt, &mut outcome).await {
        Ok(end) => end,
        Err(error) => End::Wrong(format!("request failed: {error}")),
    };
    outcome
}

fn request(
    http: &client::Client,
    target: &str,
    key: Option<&str>,
    line: &Line,
    prompt: &str,
) -> (client::ClientRequest, String) {
    let (request, body) = match &line.kind {
        Kind::Chat { model, stream, max_tokens, .. } => {
            let body = json!({"model": model, "stream": stream, "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": prompt}]});
            (http.post(format!("{target}/v1/chat/completions")), body.to_string())
        }
        Kind::Lookup { service } => (
            http.get(format!("{target}/services/{service}/orders?mark={}", mark(prompt))),
            String::new(),
        ),
        Kind::Payment { service } => (
            http.post(format!("{target}/services/{service}/payments"))
                .header("idempotency-key", mark(prompt)),
            json!({"mark": mark(prompt)}).to_string(),
        ),
    };
    let request = request.header("briarwinch-class", line.class.as_str());
    let request = request.header("content-type", "application/json");
    match key {
        Some(key) => (request.bearer_auth(key), body),
        None => (request, body),
    }
}

/// The prompt in a form that fits URLs and headers. It identifies a request to a plain service.
fn mark(prompt: &str) -> String {
    prompt.trim().replace(' ', "-")
}

async fn exchange(
    http: &client::Client,
    target: &str,
    key: Option<&str>,
    line: &Line,
    prompt: &str,
    outcome: &mut Outcome,
) -> anyhow::Result<End> {
    let begin = Instant::now();
    let (request, body) = request(http, target, key, line, prompt);
    let response = request.send_body(body).await.map_err(|error| anyhow::anyhow!("{error}"))?;
    let status = response.status();
    if !status.is_success() {
        let body = response.body().await.unwrap_or_default();
        let code = serde_json::from_slice::<serde_json::Value>(&body)
            .ok()
            .and_then(|body| body["error"]["code"].as_str().map(str::to_owned));
        return Ok(End::Refused(code.unwrap_or_else(|| status.to_string())));
    }
    if let Kind::Chat { stream: true, max_tokens, .. } = line.kind {
        return read_stream(&response, prompt, max_tokens, begin, outcome).await;
    }
    let body = response.body().limit(8 << 20).await.map_err(|error| anyhow::anyhow!("{error}"))?;
    outcome.first = Some(begin.elapsed());
    let body: serde_json::Value = serde_json::from_slice(&body)?;
    Ok(check_answer(line, prompt, &body, outcome))
}

fn check_answer(line: &Line, prompt: &str, body: &serde_json::Value, outcome: &mut Outcome) -> End {
    let matches = match &line.kind {
        Kind::Chat { max_tokens, .. } => {
            outcome.tokens = *max_tokens;
            let content = body["choices"][0]["message"]["content"].as_str();
            content == Some(tokens::answer(prompt, *max_tokens).as_str())
        }
        Kind::Lookup { .. } => {
            body["path"].as_str() == Some(&format!("/orders?mark={}", mark(prompt)))
        }
        Kind::Payment { .. } => {
            body["body"].as_str() == Some(&json!({"mark": mark(prompt)}).to_string())
        }
    };
    if matches { End::Complete } else { End::Wrong(format!("unexpected answer: {body}")) }
}

async fn read_stream(
    response: &client::ClientResponse,
    prompt: &str,
    max_tokens: u32,
    begin: Instant,
    outcome: &mut Outcome,
) -> anyhow::Result<End> {
    let mut payload = response.take_payload();
    let mut pending = Vec::new();
    let mut last = begin;
    while let Some(chunk) = payload.recv().await {
        pending.extend_from_slice(&chunk?);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = pending.drain(..end + 2).collect();
            let event = std::str::from_utf8(&event)?.trim_end();
            let Some(data) = event.strip_prefix("data: ") else {
                return Ok(End::Refused(error_code(event)));
            };
            if data == "[DONE]" {
                if outcome.tokens == max_tokens {
                    return Ok(End::Complete);
                }
                return Ok(End::Wrong(format!(
                    "stream ended after {} of {max_tokens} tokens",
                    outcome.tokens
                )));
            }
            let now = Instant::now();
            match outcome.first {
                None => outcome.first = Some(now - begin),
                Some(_) => outcome.gaps.push(now - last),
            }
            last = now;
            let chunk: serde_json::Value = serde_json::from_str(data)?;
            let token = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            if token != tokens::token(prompt, outcome.tokens) {
                return Ok(End::Wrong(format!(
                    "unexpected token {} of the answer: {token}",
                    outcome.tokens
                )));
            }
            outcome.tokens += 1;
        }
    }
    Ok(End::Wrong("stream closed without [DONE]".to_owned()))
}

/// The error code of an error event that ended a stream, marked as `midway:`.
fn error_code(event: &str) -> String {
    let data = event.split("data: ").nth(1).unwrap_or_default();
    let body: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    format!("midway:{}", body["error"]["code"].as_str().unwrap_or("?"))
}

fn record_outcome(stats_by_class: &StatsByClass, line: &Line, outcome: &Outcome) {
    let mut stats_by_class = stats_by_class.borrow_mut();
    let stats = stats_by_class.entry(line.class.clone()).or_default();
    if let Some(first) = outcome.first {
        let _ = stats.first_us.record(first.as_micros() as u64);
    }
    for gap in &outcome.gaps {
        let _ = stats.gap_us.record(gap.as_micros() as u64);
    }
    match &outcome.end {
        End::Complete => {
            stats.whole += 1;
            let in_time =
                outcome.first.is_some_and(|first| first.as_millis() as u64 <= line.target_ms);
            if in_time {
                stats.in_time += 1;
                stats.goodput_tokens += u64::from(outcome.tokens);
            }
        }
        End::Wrong(reason) => {
            stats.wrong += 1;
            eprintln!("load: {}: {reason}", line.class);
        }
        End::Refused(code) => *stats.refused.entry(code.clone()).or_default() += 1,
    }
}

fn print_report(options: &Options, stats_by_class: &BTreeMap<String, ClassStats>) {
    let ms = |us: u64| us as f64 / 1000.0;
    if !options.json {
        println!(
            "{:<20} {:>6} {:>8} {:>6} {:>8} {:>9} {:>9} {:>9} {:>9} {:>10}",
            "class",
            "sent",
            "answered",
            "whole",
            "refused",
            "first p50",
            "first p95",
            "gap p50",
            "gap p95",
            "attainment"
        );
    }
    let (mut whole, mut sent) = (0, 0);
    for (class, stats) in stats_by_class {
        let refused: u64 = stats.refused.values().sum();
        let attainment = stats.in_time as f64 / stats.sent.max(1) as f64;
        whole += stats.whole;
        sent += stats.sent;
        let (first, gap) = (&stats.first_us, &stats.gap_us);
        if options.json {
            println!(
                "{}",
                json!({"class": class, "sent": stats.sent, "whole": stats.whole,
                "wrong": stats.wrong, "refused": stats.refused, "attainment": attainment,
                "goodput_tokens": stats.goodput_tokens,
                "first_token_p50_ms": ms(first.value_at_quantile(0.5)),
                "first_token_p95_ms": ms(first.value_at_quantile(0.95)),
                "gap_p50_ms": ms(gap.value_at_quantile(0.5)),
                "gap_p95_ms": ms(gap.value_at_quantile(0.95))})
            );
            continue;
        }
        println!(
            "{:<20} {:>6} {:>8} {:>6} {:>8} {:>6.1} ms {:>6.1} ms {:>6.2} ms {:>6.2} ms {:>10.3}",
            class,
            stats.sent,
            stats.whole + stats.wrong,
            stats.whole,
            refused,
            ms(first.value_at_quantile(0.5)),
            ms(first.value_at_quantile(0.95)),
            ms(gap.value_at_quantile(0.5)),
            ms(gap.value_at_quantile(0.95)),
            attainment
        );
        for (code, count) in &stats.refused {
            println!("  refused {code}: {count}");
        }
    }
    println!("answers whole {whole} of {sent}");
}
