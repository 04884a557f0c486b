//! A model engine with continuous batching. It streams tokens at a fixed rate, counts requests whose client
//! disconnected as cancelled, and records the requests it received under `/record`.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::util::{Bytes, Stream};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::{serve, tokens};

#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Time between two tokens of a stream in milliseconds
    #[arg(long, default_value_t = 10)]
    token_ms: u64,
    /// Prefill time of a prompt of 1000 tokens in milliseconds
    #[arg(long, default_value_t = 40)]
    prefill_ms: u64,
    /// Requests that run concurrently; further requests wait
    #[arg(long, default_value_t = 64)]
    slots: usize,
    #[arg(long, default_value_t = 1)]
    workers: usize,
}

#[derive(Clone)]
struct Shared {
    options: Options,
    slots: Arc<tokio::sync::Semaphore>,
    record: Arc<Mutex<Record>>,
    running: Arc<AtomicUsize>,
    cancelled: Arc<AtomicU64>,
    generated: Arc<AtomicU64>,
}

#[derive(Debug, Default)]
struct Record {
    /// Executions by request id.
    runs: HashMap<String, u32>,
    /// Whether any request contained a client key.
    key_seen: bool,
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

pub async fn run(options: Options) -> anyhow::Result<()> {
    let listener = serve::bind(options.listen)?;
    let workers = options.workers;
    let shared = Shared {
        slots: Arc::new(tokio::sync::Semaphore::new(options.slots)),
        options,
        record: Arc::default(),
        running: Arc::default(),
        cancelled: Arc::default(),
        generated: Arc::default(),
    };
    HttpServer::new(async move || {
        App::new()
            .state(shared.clone())
            .state(web::types::PayloadConfig::new(4 << 20))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/v1/completions", web::post().to(complete))
            .route("/record", web::get().to(record))
    })
    .workers(workers)
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

async fn record(shared: web::types::State<Shared>) -> HttpResponse {
    let record = shared.record.lock().expect("no holder of this lock panics");
    HttpResponse::Ok().json(&json!({
        "runs": record.runs,
        "key_seen": record.key_seen,
        "running": shared.running.load(Ordering::Relaxed),
        "cancelled": shared.cancelled.load(Ordering::Relaxed),
        "generated": shared.generated.load(Ordering::Relaxed),
    }))
}

fn record_request(shared: &Shared, request: &HttpRequest, body: &str) {
    let mut record = shared.record.lock().expect("no holder of this lock panics");
    record.key_seen |= serve::request_contains_key(request, body);
    if let Some(id) = serve::header(request, "x-request-id") {
        *record.runs.entry(id.to_owned()).or_default() += 1;
    }
}

async fn complete(
    request: HttpRequest,
    body: String,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    record_request(&shared, &request, &body);
    let Ok(body) = serde_json::from_str::<Body>(&body) else {
        return HttpResponse::BadRequest().json(&json!({"error": {"message": "not a completion"}}));
    };
    let prompt = body.messages.last().map_or(body.prompt, |message| message.content.clone());
    let max_tokens = body.max_tokens.unwrap_or(16);
    let permit =
        Arc::clone(&shared.slots).acquire_owned().await.expect("semaphore is never closed");
    shared.running.fetch_add(1, Ordering::Relaxed);
    let running = RunningGuard { shared: (*shared).clone(), completed: false, _permit: permit };
    let prefill_ms = shared.options.prefill_ms * (prompt.len() as u64 / 4 + 1) / 1000;
    sleep(Duration::from_millis(prefill_ms)).await;
    if body.stream {
        let tokens = TokenStream {
            running,
            prompt,
            max_tokens,
            position: 0,
            next_due: Box::pin(sleep(Duration::ZERO)),
        };
        return HttpResponse::Ok().content_type("text/event-stream").streaming(tokens);
    }
    sleep(Duration::from_millis(shared.options.token_ms * u64::from(max_tokens))).await;
    complete_answer(running, &prompt, max_tokens)
}

fn complete_answer(mut running: RunningGuard, prompt: &str, max_tokens: u32) -> HttpResponse {
    running.completed = true;
    running.shared.generated.fetch_add(u64::from(max_tokens), Ordering::Relaxed);
    HttpResponse::Ok().json(&json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": tokens::answer(prompt, max_tokens)}}],
        "usage": {"prompt_tokens": prompt.len() / 4, "completion_tokens": max_tokens},
    }))
}

/// Holds a slot while a request runs. Counts the request as cancelled if it is dropped before `completed`
/// is set, which is what happens when the client disconnects.
struct RunningGuard {
    shared: Shared,
    completed: bool,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        if !self.completed {
            self.shared.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The body of a streamed answer: one event per token, then `[DONE]`.
struct TokenStream {
    running: RunningGuard,
    prompt: String,
    max_tokens: u32,
    position: u32,
    next_due: Pin<Box<Sleep>>,
}

impl Stream for TokenStream {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.running.completed {
            return Poll::Ready(None);
        }
        let paced = self.running.shared.options.token_ms > 0;
        if paced && self.next_due.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let position = self.position;
        if position == self.max_tokens {
            self.running.completed = true;
            return Poll::Ready(Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))));
        }
        self.position += 1;
        let at = Instant::now() + Duration::from_millis(self.running.shared.options.token_ms);
        self.next_due = Box::pin(sleep_until(at));
        self.running.shared.generated.fetch_add(1, Ordering::Relaxed);
        let chunk = json!({"object": "chat.completion.chunk", "choices": [{"index": 0,
            "delta": {"content": tokens::token(&self.prompt, position)}, "finish_reason": null}]});
        Poll::Ready(Some(Ok(Bytes::from(format!("data: {chunk}\n\n")))))
    }
}
