//! Tells a few other entries which software versions began the streams of this entry, and asks them about
//! streams of others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::gateway::control::{Control, Platform};
use crate::gateway::fleet::datagrams;
use crate::gateway::fleet::exchange::Outgoing;
use crate::gateway::fleet::message::Message;
use crate::gateway::stream_versions::{Record, StreamKey};

/// Number of other entries that keep the version of a stream. One is left when a zone is lost and a datagram
/// with it.
const KEEPERS: usize = 3;
/// Number of other entries that are asked about a stream. One more than are told: the entry that began the
/// stream is not among its own keepers and may rank before them here.
const ASKED: usize = KEEPERS + 1;
/// Delay before new versions are sent, to send further ones together with them.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of streams in a message; 16 bytes each.
const MAX_STREAMS: usize = 70;

/// Sends versions and queries to other entries until the process ends.
pub(in crate::gateway) async fn run<P: Platform>(control: Rc<Control<P>>) {
    loop {
        control.shared.stream_versions_due.notified().await;
        time::sleep(BATCH_DELAY).await;
        send(&control);
    }
}

fn send<P>(control: &Control<P>) {
    let now_ms = control.now_ms();
    let (records, unasked) = {
        let mut versions = control.shared.stream_versions();
        (versions.take_unsent(), versions.take_unasked())
    };
    let mut told: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
    let mut asked: BTreeMap<SocketAddr, Vec<StreamKey>> = BTreeMap::new();
    {
        let peers = &control.exchange.borrow().peers;
        for record in records {
            for addr in peers.stream_keepers(record.stream.seed(), KEEPERS, now_ms) {
                told.entry(addr).or_default().push(record);
            }
        }
        // A reader of the store loads what entries have saved of streams that it does not know.
        let reader = peers.first_store_reader(now_ms);
        for stream in unasked {
            let mut keepers = peers.stream_keepers(stream.seed(), ASKED, now_ms);
            keepers.extend(reader.filter(|reader| !keepers.contains(reader)));
            for addr in keepers {
                asked.entry(addr).or_default().push(stream);
            }
        }
    }
    let from = control.shared.settings.peer_addr();
    let told = told.iter().flat_map(|(addr, records)| {
        records.chunks(MAX_STREAMS).map(|part| (*addr, Message::StreamVersions(part.to_vec())))
    });
    let asked = asked.iter().flat_map(|(addr, streams)| {
        let query = move |part: &[StreamKey]| Message::StreamQuery { from, streams: part.to_vec() };
        streams.chunks(MAX_STREAMS).map(move |part| (*addr, query(part)))
    });
    let outgoing = told.chain(asked).map(|(addr, message)| Outgoing { to: vec![addr], message });
    datagrams::send_all(control, outgoing.collect());
}

/// Processes versions received from another entry.
pub(in crate::gateway) fn learn<P>(control: &Control<P>, records: &[Record], now_ms: u64) {
    let mut versions = control.shared.stream_versions();
    records.iter().for_each(|record| versions.learn(*record, now_ms));
}

/// Processes the streams that another entry was asked about and does not know.
pub(in crate::gateway) fn learn_unknown<P>(control: &Control<P>, streams: &[StreamKey]) {
    let mut versions = control.shared.stream_versions();
    streams.iter().for_each(|stream| versions.set_unknown(*stream));
}

/// Answers another entry's query.
pub(in crate::gateway) fn answer<P>(control: &Control<P>, from: SocketAddr, streams: &[StreamKey]) {
    let (mut known, mut unknown) = (Vec::new(), Vec::new());
    {
        let versions = control.shared.stream_versions();
        for stream in streams {
            match versions.find(*stream) {
                Some(version) => known.push(Record { stream: *stream, version }),
                None => unknown.push(*stream),
            }
        }
    }
    if !unknown.is_empty() {
        control.shared.stream_versions().request_load();
        control.shared.version_store_due.notify_one();
    }
    let mut outgoing = Vec::new();
    if !known.is_empty() {
        outgoing.push(Outgoing { to: vec![from], message: Message::StreamVersions(known) });
    }
    if !unknown.is_empty() {
        outgoing.push(Outgoing { to: vec![from], message: Message::UnknownStreams(unknown) });
    }
    datagrams::send_all(control, outgoing);
}
