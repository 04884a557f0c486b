//! The forms of input, each in a test of its own: heads, empty lines, large bodies and chunked bodies, whole, in pieces
//! and stopping short of their end on connections that stay open.

use crate::crowd::{self, Delivery, Script};
use crate::{play, request_head};

/// Largest body that is allowed.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Descriptors that the process may open.
const MAX_DESCRIPTORS: u64 = 4_100;

/// Whose key a request of the crowd bears.
#[derive(Clone, Copy, Debug)]
pub enum Sender {
    Account,
    Unknown,
}

/// Callers that send as much as the largest body.
const BODY_CALLERS: usize = 80;
/// Callers that send as much as the largest head.
const HEAD_CALLERS: usize = 300;
/// Callers that send more than one request may have.
const ENDLESS_CALLERS: usize = 24;
/// Bytes that stand for an input without end.
const ENDLESS_BYTES: usize = 4 << 20;
/// More than the operators allow for a head, less than the server takes.
const LARGE_HEAD_BYTES: usize = 120_000;

fn send(
    callers: usize,
    head: fn(usize) -> String,
    rest: impl Into<Vec<u8>>,
    delivery: Delivery,
) -> Script {
    Script { callers, head, rest: rest.into(), delivery }
}

/// The beginning of a head, up to a field whose value follows.
fn open_field(number: usize) -> String {
    request_head(Sender::Account, number, "") + "x-long: "
}

fn heads(delivery: Delivery) -> Script {
    let rest = "x".repeat(LARGE_HEAD_BYTES) + "\r\n\r\n";
    send(HEAD_CALLERS, open_field, rest, delivery)
}

/// Guards against heads that are gathered on many connections at once.
#[test]
fn large_heads() {
    play(heads(Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against heads that are gathered while they arrive slowly.
#[test]
fn large_heads_in_pieces() {
    play(heads(Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against heads that are kept until they are complete, which they never are.
#[test]
fn large_heads_that_stop_short() {
    play(heads(Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against the same, where each caller has sent little at a time.
#[test]
fn large_heads_in_pieces_that_stop_short() {
    play(heads(Delivery::ShortInPieces), MAX_DESCRIPTORS);
}

/// Guards against incomplete heads within the operators' limit on very many connections.
#[test]
fn heads_within_the_limit_that_stop_short() {
    let rest = "x".repeat(15_000) + "\r\n\r\n";
    play(send(1_200, open_field, rest, Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against a field of a head that has no end.
#[test]
fn a_field_without_end() {
    let rest = vec![b'x'; ENDLESS_BYTES];
    play(send(ENDLESS_CALLERS, open_field, rest, Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against fields of a head that have no end, a few at a time.
#[test]
fn fields_without_end_in_pieces() {
    let head = |number| request_head(Sender::Account, number, "");
    let rest = "x-more: a value\r\n".repeat(ENDLESS_BYTES / 17);
    play(send(ENDLESS_CALLERS, head, rest, Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against a request line that has no end.
#[test]
fn a_request_line_without_end() {
    let rest = vec![b'x'; ENDLESS_BYTES];
    play(send(ENDLESS_CALLERS, |_| "GET /".to_owned(), rest, Delivery::Whole), MAX_DESCRIPTORS);
}

fn empty_lines(delivery: Delivery) -> Script {
    let lines = "\r\n".repeat(ENDLESS_BYTES / 2);
    send(ENDLESS_CALLERS, |_| String::new(), lines, delivery)
}

/// Guards against empty lines before a request that are gathered.
#[test]
fn empty_lines_without_end() {
    play(empty_lines(Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against empty lines that are gathered while they arrive slowly.
#[test]
fn empty_lines_in_pieces() {
    play(empty_lines(Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against a few empty lines on very many connections that then stay open.
#[test]
fn empty_lines_that_stop_short() {
    let lines = "\r\n".repeat(1_000);
    play(send(1_000, |_| String::new(), lines, Delivery::Short), MAX_DESCRIPTORS);
}

fn stated_body(number: usize) -> String {
    let length = format!("content-length: {MAX_BODY_BYTES}\r\n");
    request_head(Sender::Account, number, &length) + "\r\n"
}

fn bodies(delivery: Delivery) -> Script {
    send(BODY_CALLERS, stated_body, vec![b'x'; MAX_BODY_BYTES], delivery)
}

/// Guards against many bodies of the largest legal size that are held at once.
#[test]
fn large_bodies() {
    play(bodies(Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against large bodies that are held while they arrive slowly.
#[test]
fn large_bodies_in_pieces() {
    play(bodies(Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against large bodies that are held until they are complete, which they never are.
#[test]
fn large_bodies_that_stop_short() {
    play(bodies(Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against the same, where each caller has sent little at a time.
#[test]
fn large_bodies_in_pieces_that_stop_short() {
    play(bodies(Delivery::ShortInPieces), MAX_DESCRIPTORS);
}

/// Guards against incomplete bodies far below the limit on very many connections.
#[test]
fn medium_bodies_that_stop_short() {
    let head = |number| request_head(Sender::Account, number, "content-length: 60000\r\n") + "\r\n";
    play(send(600, head, vec![b'x'; 60_000], Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against bodies that are held although their caller has no key.
#[test]
fn large_bodies_of_unknown_callers() {
    let head = |number| {
        let length = format!("content-length: {MAX_BODY_BYTES}\r\n");
        request_head(Sender::Unknown, number, &length) + "\r\n"
    };
    play(send(BODY_CALLERS, head, vec![b'x'; MAX_BODY_BYTES], Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against bodies that are gathered although their stated length is over the limit.
#[test]
fn bodies_with_a_stated_length_over_the_limit() {
    let head = |number| {
        request_head(Sender::Account, number, "content-length: 1099511627776\r\n") + "\r\n"
    };
    play(send(BODY_CALLERS, head, vec![b'x'; MAX_BODY_BYTES], Delivery::Whole), MAX_DESCRIPTORS);
}

fn chunked_head(number: usize) -> String {
    request_head(Sender::Account, number, "transfer-encoding: chunked\r\n") + "\r\n"
}

fn large_chunks(delivery: Delivery) -> Script {
    let body = crowd::chunked(MAX_BODY_BYTES, 64 << 10);
    send(BODY_CALLERS, chunked_head, body, delivery)
}

/// Guards against many chunked bodies that are held at once.
#[test]
fn large_chunks_whole() {
    play(large_chunks(Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against chunked bodies that are held while they arrive slowly.
#[test]
fn large_chunks_in_pieces() {
    play(large_chunks(Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against chunked bodies that are held until they are complete, which they never are.
#[test]
fn large_chunks_that_stop_short() {
    play(large_chunks(Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against the same, where each caller has sent little at a time.
#[test]
fn large_chunks_in_pieces_that_stop_short() {
    play(large_chunks(Delivery::ShortInPieces), MAX_DESCRIPTORS);
}

fn small_chunks(delivery: Delivery) -> Script {
    send(BODY_CALLERS, chunked_head, crowd::chunked(MAX_BODY_BYTES, 1), delivery)
}

/// Guards against chunks of one byte that cost more than what they bring.
#[test]
fn small_chunks_whole() {
    play(small_chunks(Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against chunks of one byte that are held while they arrive slowly.
#[test]
fn small_chunks_in_pieces() {
    play(small_chunks(Delivery::InPieces), MAX_DESCRIPTORS);
}

/// Guards against chunks of one byte of bodies that never end.
#[test]
fn small_chunks_that_stop_short() {
    play(small_chunks(Delivery::Short), MAX_DESCRIPTORS);
}

/// Guards against the same, where each caller has sent little at a time.
#[test]
fn small_chunks_in_pieces_that_stop_short() {
    play(small_chunks(Delivery::ShortInPieces), MAX_DESCRIPTORS);
}

/// Guards against small bodies that arrive slowly, but not slowly enough to be given up, and keep others from being read.
#[test]
fn small_bodies_of_slow_callers() {
    let head = |number| request_head(Sender::Account, number, "content-length: 200\r\n") + "\r\n";
    play(send(900, head, vec![b'x'; 200], Delivery::Slow(200)), MAX_DESCRIPTORS);
}

/// Guards against small bodies that are complete at the same time, so that all of their requests are served at once.
#[test]
fn small_bodies_that_end_together() {
    let head = |number| request_head(Sender::Account, number, "content-length: 100\r\n") + "\r\n";
    play(send(900, head, vec![b'x'; 100], Delivery::Slow(100)), MAX_DESCRIPTORS);
}

/// Guards against the same with bodies that are not small.
#[test]
fn medium_bodies_of_slow_callers() {
    let head = |number| request_head(Sender::Account, number, "content-length: 40000\r\n") + "\r\n";
    play(send(300, head, vec![b'x'; 40_000], Delivery::Slow(200)), MAX_DESCRIPTORS);
}

/// Guards against the line before a chunk that has no end.
#[test]
fn a_chunk_size_line_without_end() {
    let head = |number| chunked_head(number) + "5;x=";
    let rest = vec![b'a'; ENDLESS_BYTES];
    play(send(ENDLESS_CALLERS, head, rest, Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against lines after the last chunk that have no end.
#[test]
fn trailer_lines_without_end() {
    let head = |number| chunked_head(number) + "2\r\nok\r\n0\r\n";
    let rest = "x-more: a value\r\n".repeat(ENDLESS_BYTES / 17);
    play(send(ENDLESS_CALLERS, head, rest, Delivery::Whole), MAX_DESCRIPTORS);
}

/// Guards against callers that send nothing and keep ordinary ones from connecting.
#[test]
fn silent_connections_beyond_the_descriptors() {
    play(send(400, |_| String::new(), Vec::new(), Delivery::Whole), 260);
}
