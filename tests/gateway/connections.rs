//! Tests of HTTP/1.1 connections to endpoints that respond correctly and incorrectly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use briarwinch::gateway::http1::{Connection, Error};
use briarwinch::platform;
use briarwinch::store::ObjectStore;

const LIMIT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// Starts an endpoint that accepts one connection, answers each request head with the next of these
/// responses and closes the connection after the last.
fn endpoint(responses: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        for response in responses {
            read_head(&mut stream);
            stream.write_all(response).expect("the response is sent");
        }
    });
    addr
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).expect("readable") == 1 {
        head.push(byte[0]);
    }
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime
        .expect("a runtime")
        .block_on(async { tokio::time::timeout(LIMIT, work).await })
        .expect("in time")
}

async fn exchange(connection: &mut Connection) -> Result<(u16, Vec<u8>), Error> {
    let head = connection.exchange(REQUEST).await?;
    let body = connection.read_body(1 << 20).await?;
    Ok((head.status, body.to_vec()))
}

fn exchange_once(response: &'static [u8]) -> Result<(u16, Vec<u8>), Error> {
    run(async {
        let mut connection = Connection::open(endpoint(vec![response]), LIMIT).await?;
        exchange(&mut connection).await
    })
}

#[test]
fn bodies_end_where_their_framing_ends() {
    let cases: [(&[u8], &[u8]); 4] = [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", b"abc"),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b""),
    ];
    for (response, body) in cases {
        assert_eq!(exchange_once(response).expect("a complete response"), (200, body.to_vec()));
    }
}

/// Guards against a truncated response that passes for a complete one. An endpoint that crashes sends
/// only a part of its response.
#[test]
fn truncated_responses_are_errors() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
        b"HTTP/1.1 200 OK\r\ncontent-le",
    ];
    for response in cases {
        assert!(exchange_once(response).is_err(), "{}", String::from_utf8_lossy(response));
    }
}

#[test]
fn malformed_responses_are_rejected() {
    let cases: [&[u8]; 3] = [
        b"hello\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc",
    ];
    for response in cases {
        assert!(
            matches!(exchange_once(response), Err(Error::Malformed)),
            "{}",
            String::from_utf8_lossy(response)
        );
    }
    assert!(matches!(exchange_once(b""), Err(Error::Closed)));
}

/// Builds a response of a beginning, a part that is repeated this often, and an end.
fn long_response(begin: &str, part: &str, count: usize, end: &str) -> &'static [u8] {
    format!("{begin}{}{end}", part.repeat(count)).into_bytes().leak()
}

/// Guards against interim responses without end, which are read until the request's time limit.
#[test]
fn interim_responses_are_limited() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    let end = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let few = exchange_once(long_response("", interim, 1_000, end));
    assert_eq!(few.expect("a complete response"), (200, b"a".to_vec()));
    let many = exchange_once(long_response("", interim, 2_000, end));
    assert!(matches!(many, Err(Error::Malformed)), "{many:?}");
}

/// Guards against trailer lines without end, which are read until the request's time limit.
#[test]
fn trailer_lines_are_limited() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    let few = exchange_once(long_response(begin, "x-more: a value\r\n", 100, "\r\n"));
    assert_eq!(few.expect("a complete response"), (200, b"a".to_vec()));
    let many = exchange_once(long_response(begin, "x-more: a value\r\n", 1_000, "\r\n"));
    assert!(matches!(many, Err(Error::Malformed)), "{many:?}");
}

/// Guards against a body that is read up to the limit although its stated length is beyond it.
#[test]
fn a_body_whose_stated_length_is_over_the_limit_is_not_read() {
    // The rest of this body never comes: it would be a broken connection.
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\nabc";
    assert!(matches!(exchange_once(response), Err(Error::Malformed)));
}

/// Guards against a response that reaches the wrong user. An endpoint sends a second response after the
/// first, and on a reused connection it would be read as the response to the next user's request.
#[test]
fn a_connection_with_unexpected_bytes_is_not_reused() {
    run(async {
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
        let mut connection = Connection::open(endpoint(vec![response]), LIMIT).await.expect("open");
        assert_eq!(
            exchange(&mut connection).await.expect("a complete response"),
            (200, b"a".to_vec())
        );
        assert!(!connection.is_reusable());
    });
}

#[test]
fn connections_are_reused_unless_the_endpoint_closes_them() {
    run(async {
        let good = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nkeep-alive: timeout=7\r\n\r\na";
        let last = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\nb";
        let mut connection =
            Connection::open(endpoint(vec![good, last]), LIMIT).await.expect("open");
        exchange(&mut connection).await.expect("a complete answer");
        assert!(connection.is_reusable());
        assert_eq!(connection.keep_alive_s(), Some(7));
        exchange(&mut connection).await.expect("a complete answer");
        assert!(!connection.is_reusable());
    });
}

#[test]
fn connecting_to_a_closed_port_is_a_connect_error() {
    // No other test listens on this address and takes the port.
    let free = TcpListener::bind("127.9.9.9:0").expect("a port");
    let addr = free.local_addr().expect("an address");
    drop(free);
    let opened = run(Connection::open(addr, LIMIT));
    assert!(matches!(opened, Err(Error::Connect(_))));
}

/// Starts an endpoint that accepts one connection, reads a request head, sends this response and returns how
/// the connection then ends.
fn endpoint_reporting_end(
    response: &'static [u8],
) -> (SocketAddr, thread::JoinHandle<std::io::Result<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let end = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("the read time-out is set");
        read_head(&mut stream);
        stream.write_all(response).expect("the response is sent");
        stream.read(&mut [0; 64])
    });
    (addr, end)
}

fn is_reset(end: std::io::Result<usize>) -> bool {
    end.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
}

/// Guards against a request that the kernel delivers after it was given up: only a reset withdraws it. The
/// responses are none, a part of one, and one to another request.
#[test]
fn a_connection_with_an_incomplete_exchange_is_reset() {
    let stray = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    for response in [b"".as_slice(), b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", stray] {
        let (addr, end) = endpoint_reporting_end(response);
        run(async {
            let mut connection = Connection::open(addr, LIMIT).await.expect("open");
            let wait = Duration::from_millis(100);
            let _ = tokio::time::timeout(wait, async {
                exchange(&mut connection).await?;
                connection.next_head().await
            })
            .await;
        });
        assert!(is_reset(end.join().expect("the endpoint ends")), "closed without a reset");
    }
}

/// Guards against resets of connections on which nothing is outstanding; servers log them as errors.
#[test]
fn an_idle_connection_is_closed_in_order() {
    let (addr, end) = endpoint_reporting_end(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
    run(async {
        let mut connection = Connection::open(addr, LIMIT).await.expect("open");
        exchange(&mut connection).await.expect("a complete response");
    });
    assert!(matches!(end.join().expect("the endpoint ends"), Ok(0)));
}

/// Opens a connection whose peer closes it, or resets it, before anything is sent on it.
async fn closed_connection(resets: bool) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connection = Connection::open(addr, LIMIT).await.expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    if resets {
        let linger = Some(Duration::ZERO);
        rustix::net::sockopt::set_socket_linger(&peer, linger).expect("the option is set");
    }
    drop(peer);
    connection
}

/// Guards against a request counted as sent although its connection was closed before its first byte: it would
/// be billed, and not be sent to another endpoint if it may run only once.
#[test]
fn nothing_is_sent_on_a_connection_that_is_already_closed() {
    for resets in [false, true] {
        let result = run(async { closed_connection(resets).await.exchange(REQUEST).await });
        assert!(matches!(result, Err(Error::Unsent(_))), "resets: {resets}, {result:?}");
    }
}

/// Guards against a kept connection that is used again after the endpoint has closed it, because the runtime has
/// not waited for events since.
#[test]
fn a_closed_connection_is_not_reused_before_the_runtime_learns_of_its_end() {
    for resets in [false, true] {
        let is_reusable = run(async { closed_connection(resets).await.is_reusable() });
        assert!(!is_reusable, "resets: {resets}");
    }
}

/// Starts a server that answers each connection with the next longer part of this head and closes it in order.
fn cut_heads(head: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for length in 1..head.len() {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(&head[..length]).expect("the part is sent");
        }
    });
    addr
}

const EMPTY: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 0\r\n\r\n";
const UNTIL_CLOSE: &[u8] = b"HTTP/1.0 200 OK\r\ncontent-type: application/json\r\n\r\n";
const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\nstore-era: 1\r\n\r\n";

/// Guards against a head that was cut off and is taken for a response, of an endpoint, of the platform's store or to a duty
/// holder's call.
#[test]
fn a_cut_head_is_no_response() {
    for head in [EMPTY, UNTIL_CLOSE, NO_CONTENT] {
        let addr = cut_heads(head);
        for length in 1..head.len() {
            let result = run(async {
                let mut connection = Connection::open(addr, LIMIT).await?;
                exchange(&mut connection).await
            });
            assert!(matches!(result, Err(Error::Malformed)), "{length} bytes: {result:?}");
        }
    }
}

/// Guards against the same in answers to the product's own client of the platform, which the operator's tool uses too.
#[test]
fn a_cut_head_is_no_answer_of_the_platform() {
    for head in [EMPTY, UNTIL_CLOSE, NO_CONTENT] {
        let addr = cut_heads(head);
        let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
        runner.block_on(async move {
            for length in 1..head.len() {
                let platform = platform::Platform::open(&format!("http://{addr}")).await;
                let answer = platform.expect("a client").get("key").await;
                assert!(answer.is_err(), "{length} bytes: {answer:?}");
            }
        });
    }
}
