//! Links to sides. Each traffic thread has one link to a side, opened on first use and multiplexed
//! between the streams of its requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use slab::Slab;
use tokio::sync::OnceCell;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task;

use crate::{error, link, seal, wire};

/// An event received on a stream.
#[derive(Debug)]
pub(super) enum Event {
    Head(wire::Head),
    Data(wire::Data),
    End(wire::End),
    Refused(error::Refusal),
    /// The link was lost.
    Lost,
}

#[derive(Debug)]
struct Slot {
    /// Distinguishes the streams that use the same slot one after another.
    generation: u32,
    events: UnboundedSender<Event>,
}

#[derive(Debug)]
struct Streams {
    slots: Slab<Slot>,
    generation: u32,
}

/// A link to a side.
#[derive(Debug)]
pub(super) struct Link {
    outbox: link::Outbox,
    streams: RefCell<Streams>,
    lost: Cell<bool>,
}

/// All links of a traffic thread.
#[derive(Debug)]
pub(super) struct Links {
    secret: seal::Secret,
    name: CompactString,
    by_addr: RefCell<HashMap<SocketAddr, Rc<OnceCell<Rc<Link>>>>>,
}

impl Links {
    pub(super) fn new(common: &super::Common) -> Self {
        Self {
            secret: common.secret.clone(),
            name: common.settings.daemon.id.clone(),
            by_addr: RefCell::default(),
        }
    }

    /// Returns the link to a side; opens it if there is none or it was lost.
    pub(super) async fn get(&self, addr: SocketAddr) -> Result<Rc<Link>, std::io::Error> {
        let cell = {
            let mut by_addr = self.by_addr.borrow_mut();
            let cell = by_addr.entry(addr).or_default();
            if cell.get().is_some_and(|link| link.lost.get() || link.outbox.is_closed()) {
                *cell = Rc::default();
            }
            Rc::clone(cell)
        };
        cell.get_or_try_init(|| self.open(addr)).await.cloned()
    }

    async fn open(&self, addr: SocketAddr) -> Result<Rc<Link>, std::io::Error> {
        let link::Link { inbox, outbox, .. } =
            link::connect(addr, &self.secret, &self.name).await?;
        let streams = RefCell::new(Streams { slots: Slab::new(), generation: 0 });
        let link = Rc::new(Link { outbox, streams, lost: Cell::new(false) });
        task::spawn_local(receive(Rc::clone(&link), inbox));
        Ok(link)
    }
}

async fn receive(link: Rc<Link>, mut inbox: link::Inbox) {
    while let Ok(Some(frame)) = inbox.next::<wire::ToEntry>().await {
        link.dispatch(frame);
    }
    link.mark_lost();
}

impl Link {
    /// Opens a stream with a new identifier.
    pub(super) fn open_stream(self: &Rc<Self>) -> Stream {
        let (events, receiver) = mpsc::unbounded_channel();
        let mut streams = self.streams.borrow_mut();
        streams.generation = streams.generation.wrapping_add(1);
        let generation = streams.generation;
        let slot = streams.slots.insert(Slot { generation, events }) as u32;
        let id = wire::StreamId { slot, generation };
        Stream { link: Rc::clone(self), id, events: receiver, ended: false }
    }

    fn dispatch(&self, frame: wire::ToEntry) {
        let (id, event) = match frame {
            wire::ToEntry::Head(head) => (head.stream, Event::Head(head)),
            wire::ToEntry::Data(data) => (data.stream, Event::Data(data)),
            wire::ToEntry::End(end) => (end.stream, Event::End(end)),
            wire::ToEntry::Refused(refused) => (refused.stream, Event::Refused(refused.refusal)),
        };
        let streams = self.streams.borrow();
        // A frame of a dropped stream can arrive after its slot was reused for another request.
        // Without the generation check its bytes would reach the wrong caller.
        match streams.slots.get(id.slot as usize) {
            Some(slot) if slot.generation == id.generation => {
                let _ = slot.events.send(event);
            }
            _ => metrics::counter!("briarwinch_stale_frames_total").increment(1),
        }
    }

    fn mark_lost(&self) {
        self.lost.set(true);
        self.outbox.close();
        for (_, slot) in &self.streams.borrow().slots {
            let _ = slot.events.send(Event::Lost);
        }
    }
}

/// The stream of one request on a link. Dropping it before its end cancels the request at the side.
#[derive(Debug)]
pub(super) struct Stream {
    link: Rc<Link>,
    pub(super) id: wire::StreamId,
    pub(super) events: UnboundedReceiver<Event>,
    /// The side sends no more frames on this stream.
    pub(super) ended: bool,
}

impl Stream {
    pub(super) fn send(&self, frame: &wire::ToSide) -> bool {
        self.link.outbox.send(frame)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut streams = self.link.streams.borrow_mut();
        let slot = self.id.slot as usize;
        if streams.slots.get(slot).is_some_and(|slot| slot.generation == self.id.generation) {
            streams.slots.remove(slot);
        }
        if !self.ended {
            self.link.outbox.send(&wire::ToSide::Cancel(self.id));
        }
    }
}
