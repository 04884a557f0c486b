//! Connections to endpoints that answer as they should, and as they should not.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use briarwinch::gateway::http1::{Connection, Error};

const LIMIT: Duration = Duration::from_secs(10);
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// An endpoint that answers each request head on its one connection with the next of these texts,
/// and ends the connection after the last.
fn endpoint(answers: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        for answer in answers {
            read_head(&mut stream);
            stream.write_all(answer).expect("the answer leaves");
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

fn once(answer: &'static [u8]) -> Result<(u16, Vec<u8>), Error> {
    run(async {
        let mut connection = Connection::open(endpoint(vec![answer]), LIMIT).await?;
        exchange(&mut connection).await
    })
}

#[test]
fn bodies_end_as_their_framing_says() {
    let cases: [(&[u8], &[u8]); 4] = [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", b"abc"),
        (b"HTTP/1.1 200 OK\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b""),
    ];
    for (answer, body) in cases {
        assert_eq!(once(answer).expect("whole"), (200, body.to_vec()));
    }
}

/// An endpoint that crashes cuts its answer. Taken as whole, the user would see half of it as all.
#[test]
fn cut_answers_are_not_whole() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
        b"HTTP/1.1 200 OK\r\ncontent-le",
    ];
    for answer in cases {
        assert!(once(answer).is_err(), "{}", String::from_utf8_lossy(answer));
    }
}

#[test]
fn what_is_no_http_is_said_to_be_none() {
    let cases: [&[u8]; 3] = [
        b"hello\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc",
    ];
    for answer in cases {
        assert!(
            matches!(once(answer), Err(Error::Malformed)),
            "{}",
            String::from_utf8_lossy(answer)
        );
    }
    assert!(matches!(once(b""), Err(Error::Closed)));
}

/// An endpoint sends a second answer after the first. Left in the connection, it would be taken for
/// the answer to the next user's request.
#[test]
fn a_connection_with_bytes_that_nobody_asked_for_is_not_used_again() {
    run(async {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
        let mut connection = Connection::open(endpoint(vec![answer]), LIMIT).await.expect("open");
        assert_eq!(exchange(&mut connection).await.expect("whole"), (200, b"a".to_vec()));
        assert!(!connection.is_reusable());
    });
}

#[test]
fn connections_are_used_again_unless_either_end_closes() {
    run(async {
        let good = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nkeep-alive: timeout=7\r\n\r\na";
        let last = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\nb";
        let mut connection =
            Connection::open(endpoint(vec![good, last]), LIMIT).await.expect("open");
        exchange(&mut connection).await.expect("whole");
        assert!(connection.is_reusable());
        assert_eq!(connection.keep_alive_s(), Some(7));
        exchange(&mut connection).await.expect("whole");
        assert!(!connection.is_reusable());
    });
}

#[test]
fn an_address_where_nobody_listens_is_no_connection() {
    let free = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = free.local_addr().expect("an address");
    drop(free);
    let opened = run(Connection::open(addr, LIMIT));
    assert!(matches!(opened, Err(Error::Connect(_))));
}
