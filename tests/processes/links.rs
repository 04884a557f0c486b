//! Links between daemons on a path that falls silent: a socket filter drops all packets to one end.

use std::net::TcpListener;
use std::time::Duration;

use briarwinch::{link, seal};
use compact_str::CompactString;
use socket2::{SockFilter, SockRef};
use tokio::net::TcpStream;
use tokio::{task, time};

/// A filter program that accepts no packet: the opcode is "return a constant".
const DROP_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];
/// Longest wait for the link to end, twice the time within which a message has to be acknowledged.
const LIMIT: Duration = Duration::from_secs(10);
/// Time within which a message arrives on a path that works.
const ARRIVAL: Duration = Duration::from_secs(1);

/// Guards against a link that looks open on a silent path, and against messages that were given up and are
/// delivered once the path is back.
#[test]
fn a_link_on_a_silent_path_ends_and_delivers_nothing_later() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let work = async {
        let secret = seal::Secret::fleet("a secret of the tests");
        let id = CompactString::from("daemon");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (client, server) = tokio::join!(link::connect(addr, &secret, &id), async {
            let (stream, _) = task::spawn_blocking(move || listener.accept())
                .await
                .expect("the listener runs")
                .expect("a connection");
            let socket = stream.try_clone().expect("the socket is duplicated");
            stream.set_nonblocking(true).expect("a non-blocking socket");
            let stream = TcpStream::from_std(stream).expect("a stream");
            (link::accept(stream, &secret, &id).await.expect("a greeting"), socket)
        });
        let (mut client, (mut server, socket)) = (client.expect("a greeting"), server);
        SockRef::from(&socket).attach_filter(&DROP_ALL).expect("the filter is attached");
        assert!(client.outbox.send(&7_u32));
        let end = time::timeout(LIMIT, client.inbox.next::<u32>()).await;
        assert!(matches!(end, Ok(Err(_))), "the link still looks open: {end:?}");
        SockRef::from(&socket).detach_filter().expect("the filter is detached");
        let late = time::timeout(ARRIVAL, server.inbox.next::<u32>()).await;
        assert!(!matches!(late, Ok(Ok(Some(_)))), "the message was delivered: {late:?}");
    };
    let local = task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), work);
}
