//! Builds the HTTP response of a request: a streamed answer, a buffered answer or a refusal.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::http::{StatusCode, header};
use ntex::util::{Bytes, Stream};
use ntex::web::HttpResponse;

use super::reader::{Next, Reader};
use super::{Worker, intake};
use crate::{drain, error, event_splitter, explain, trace, wire};

/// Maximum length of an answer that is buffered before it is sent.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Response headers with the request's identifier, whether it ran, and whether the answer is from an
/// earlier run.
const REQUEST_HEADER: &str = "briarwinch-request";
const RAN_HEADER: &str = "briarwinch-ran";
const REPLAYED_HEADER: &str = "briarwinch-replayed";

/// The state of a request that is kept until its answer has ended.
#[derive(Debug)]
pub(super) struct AnswerContext {
    pub(super) request: intake::Request,
    pub(super) active: intake::Active,
    pub(super) record: explain::RequestRecord,
    pub(super) span: trace::Span,
}

/// Records metrics, usage and the explanation of a request once, when its answer ends.
struct Completion {
    worker: Rc<Worker>,
    context: Option<AnswerContext>,
}

impl Completion {
    fn record_first_token(&mut self) {
        let now_ms = self.worker.now_ms();
        let Some(context) = self.context.as_mut() else {
            return;
        };
        if context.record.first_token_ms.is_some() {
            return;
        }
        let after_ms = now_ms - context.request.arrived_ms;
        context.record.first_token_ms = Some(after_ms);
        let class = context.request.class.to_string();
        let in_time = if now_ms <= context.request.target_at_ms { "yes" } else { "no" };
        metrics::counter!("briarwinch_first_tokens_total", "class" => class.clone(), "in_time" => in_time)
            .increment(1);
        metrics::histogram!("briarwinch_first_token_seconds", "class" => class)
            .record(after_ms as f64 / 1000.0);
    }

    fn end(&mut self, status: u16, outcome: Result<wire::End, &error::Refusal>, bytes: u64) {
        let Some(mut context) = self.context.take() else {
            return;
        };
        let record = &mut context.record;
        record.status = status;
        record.body_bytes = bytes;
        record.total_ms = self.worker.now_ms() - context.request.arrived_ms;
        match outcome {
            Ok(end) => {
                record.outcome = "whole".into();
                record.queue_ms = Some(end.queue_ms);
                record.tokens = end.tokens;
                self.worker.common.durations.observe(&context.request.service, record.total_ms);
            }
            Err(refusal) => {
                record.outcome = refusal.kind.answer().code.into();
                record.ran = refusal.ran.to_string().into();
            }
        }
        count_outcome(&self.worker, record);
        if let Some(rate_per_s) = context.request.tokens_per_s {
            let tokens =
                u64::from(context.request.prompt_tokens) + u64::from(context.record.tokens);
            let now_ms = self.worker.now_ms();
            let mut token_budgets = self.worker.token_budgets.borrow_mut();
            token_budgets.charge(&context.request.account, rate_per_s, tokens, now_ms);
        }
        context.span.end(&self.worker.common.spans, &context.request.id);
        self.worker.common.history.push(context.record);
        drop(context.active);
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        // The completion was not recorded yet, so the caller has disconnected.
        let refusal = error::Refusal::unknown(error::Kind::Superseded);
        self.end(0, Err(&refusal), 0);
    }
}

fn count_outcome(worker: &Worker, record: &explain::RequestRecord) {
    metrics::counter!("briarwinch_requests_total",
        "class" => record.class.to_string(), "outcome" => record.outcome.to_string())
    .increment(1);
    slog::debug!(worker.common.log, "request";
        "request" => record.request.as_str(), "trace" => &record.trace_id,
        "account" => record.account.as_str(), "class" => record.class.as_str(),
        "service" => record.service.as_str(), "status" => record.status,
        "outcome" => record.outcome.as_str(), "total_ms" => record.total_ms);
}

/// Responds with the endpoint's answer.
pub(super) async fn answer(
    worker: &Rc<Worker>,
    context: AnswerContext,
    reader: Reader,
    head: wire::Head,
) -> HttpResponse {
    let id = context.request.id.clone();
    let completion = Completion { worker: Rc::clone(worker), context: Some(context) };
    let is_stream = head
        .headers
        .iter()
        .any(|field| field.name == "content-type" && field.value.starts_with("text/event-stream"));
    if is_stream {
        let stopping = Rc::clone(worker);
        let body = StreamedBody {
            completion,
            reader,
            status: head.status,
            splitter: event_splitter::EventSplitter::default(),
            end_of_stop: Box::pin(async move {
                stopping.common.stop.phase_reached(drain::Phase::EndStreams).await;
            }),
        };
        return response(&head, &id).streaming(body);
    }
    buffered(completion, reader, &head, &id).await
}

fn response(head: &wire::Head, id: &str) -> ntex::web::HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for field in &head.headers {
        response.header(field.name.as_str(), field.value.as_str());
    }
    response.set_header(REQUEST_HEADER, id);
    if head.replayed {
        response.set_header(REPLAYED_HEADER, "yes");
    }
    response
}

/// Buffers the answer and sends it when it is complete.
async fn buffered(
    mut completion: Completion,
    mut reader: Reader,
    head: &wire::Head,
    id: &str,
) -> HttpResponse {
    let mut body = Vec::new();
    let worker = Rc::clone(&completion.worker);
    loop {
        let next = worker.common.stop.until(drain::Phase::FinalAnswers, reader.next()).await;
        let refusal = match next.unwrap_or_else(|| Some(Err(reader.interrupt()))) {
            Some(Ok(Next::Chunk(chunk))) if body.len() + chunk.len() <= MAX_BUFFERED_BYTES => {
                completion.record_first_token();
                body.extend_from_slice(&chunk);
                continue;
            }
            Some(Ok(Next::Chunk(_))) => error::Refusal::unknown(error::Kind::EndpointFailed)
                .detail("The answer is too long."),
            Some(Ok(Next::Head(_))) => continue,
            Some(Ok(Next::End(end))) => {
                completion.record_first_token();
                completion.end(head.status, Ok(end), reader.received_bytes);
                return response(head, id).body(body);
            }
            Some(Err(refusal)) => refusal,
            None => error::Refusal::unknown(error::Kind::Internal),
        };
        let status = refusal.kind.answer().status;
        completion.end(status, Err(&refusal), reader.received_bytes);
        return refusal_response(&refusal, id);
    }
}

/// The body of a streamed answer. It ends as the endpoint ended it, or after a complete event with an error event
/// that gives the reason.
struct StreamedBody {
    completion: Completion,
    reader: Reader,
    status: u16,
    /// Holds back an incomplete event.
    splitter: event_splitter::EventSplitter,
    /// Completes when a stop ends the streams that are still being sent.
    end_of_stop: Pin<Box<dyn Future<Output = ()>>>,
}

impl Stream for StreamedBody {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        loop {
            let next = match this.reader.poll_next(context) {
                Poll::Pending if this.end_of_stop.as_mut().poll(context).is_pending() => {
                    return Poll::Pending;
                }
                Poll::Pending => Some(Err(this.reader.interrupt())),
                Poll::Ready(next) => next,
            };
            match next {
                Some(Ok(Next::Chunk(chunk))) => {
                    this.completion.record_first_token();
                    let events = this.splitter.push(&chunk);
                    // An event that is too long to be held back is sent in pieces.
                    let bytes =
                        events.map_or_else(|| this.splitter.take_rest(), |events| events.bytes);
                    if !bytes.is_empty() {
                        return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&bytes))));
                    }
                }
                Some(Ok(Next::Head(_))) => {}
                Some(Ok(Next::End(end))) => {
                    this.completion.end(this.status, Ok(end), this.reader.received_bytes);
                    let rest = this.splitter.take_rest();
                    let rest = (!rest.is_empty()).then(|| Ok(Bytes::copy_from_slice(&rest)));
                    return Poll::Ready(rest);
                }
                Some(Err(refusal)) => {
                    this.completion.end(this.status, Err(&refusal), this.reader.received_bytes);
                    let event = format!("event: error\ndata: {}\n\n", refusal.body());
                    return Poll::Ready(Some(Ok(Bytes::from(event))));
                }
                None => return Poll::Ready(None),
            }
        }
    }
}

/// Refuses a request that has no answer yet, and records its end.
pub(super) fn refuse(
    worker: &Worker,
    refusal: &error::Refusal,
    mut record: explain::RequestRecord,
    begin_ms: u64,
) -> HttpResponse {
    record.status = refusal.kind.answer().status;
    record.outcome = refusal.kind.answer().code.into();
    record.ran = refusal.ran.to_string().into();
    record.total_ms = worker.now_ms() - begin_ms;
    let response = refusal_response(refusal, &record.request);
    count_outcome(worker, &record);
    worker.common.history.push(record);
    response
}

/// Builds the HTTP response of a refusal.
pub(super) fn refusal_response(refusal: &error::Refusal, id: &str) -> HttpResponse {
    let answer = refusal.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.set_header(RAN_HEADER, refusal.ran.to_string());
    if !id.is_empty() {
        response.set_header(REQUEST_HEADER, id);
    }
    if let Some(wait_ms) = refusal.retry_after_ms {
        response.set_header(header::RETRY_AFTER, wait_ms.div_ceil(1000).to_string());
    }
    response.json(&refusal.body())
}
