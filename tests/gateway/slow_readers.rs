//! Tests of reading ahead for slow callers and of the choice of the response that is ended first.

use std::sync::Arc;

use briarwinch::gateway::buffer_allowance::{
    BufferAllowance, FREE_BYTES, Reservation, SHARED_BYTES,
};
use briarwinch::gateway::caller_buffers::first_event_end;
use briarwinch::gateway::policy::slow_readers::{self, Held, MIN_AGE_MS, Unsent};
use briarwinch::gateway::settings;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{SEED, cases};

/// A stream of the simulation.
struct Caller {
    reads_bytes_per_step: usize,
    unsent_bytes: usize,
    unsent: Unsent,
    reservation: Reservation,
    is_ended: bool,
}

impl Caller {
    fn held(&mut self, now_ms: u64) -> Held {
        let held = self.unsent.held(self.unsent_bytes, now_ms);
        self.reservation.resize_always(held.bytes);
        held
    }
}

/// Guards against an entry of 120 MB that a thousand slow callers fill, and against sound callers that are ended or
/// not read for them.
#[test]
fn a_thousand_slow_callers_stay_below_the_allowance_beside_sound_ones() {
    const STEP_MS: u64 = 50;
    const SLOW: usize = 1_000;
    const SOUND: usize = 200;
    const MEMORY_MB: u64 = 120;
    println!("seed {SEED}, {SLOW} slow and {SOUND} sound callers");
    let mut rng = StdRng::seed_from_u64(SEED);
    let allowance = Arc::new(BufferAllowance::of_memory(Some(MEMORY_MB)));
    let total_bytes = allowance.total_bytes();
    assert_eq!(total_bytes, 30_000_000);
    let mut callers: Vec<Caller> = (0..SLOW + SOUND)
        .map(|number| Caller {
            reads_bytes_per_step: if number < SLOW { number % 4 * 100 } else { usize::MAX },
            unsent_bytes: 0,
            unsent: Unsent::default(),
            reservation: Reservation::new(&allowance),
            is_ended: false,
        })
        .collect();
    let (mut ended, mut most_bytes) = (0, 0);
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        for (number, caller) in callers.iter_mut().enumerate() {
            caller.unsent_bytes = caller.unsent_bytes.saturating_sub(caller.reads_bytes_per_step);
            caller.held(now_ms);
            let left_bytes = allowance.left_bytes();
            let may_read = slow_readers::may_read(caller.unsent_bytes, left_bytes, total_bytes);
            assert!(may_read || number < SLOW, "a sound caller is not read");
            if may_read && !caller.is_ended {
                let event_bytes = rng.random_range(100..4_096);
                caller.unsent.write(event_bytes, now_ms);
                caller.unsent_bytes += event_bytes;
                assert!(caller.held(now_ms).bytes <= slow_readers::READ_AHEAD_BYTES);
            }
        }
        while allowance.left_bytes() < slow_readers::kept_free_bytes(total_bytes) {
            let held = callers.iter_mut().enumerate().map(|(key, one)| (key, one.held(now_ms)));
            let Some((key, _)) = slow_readers::first_to_end(held) else { break };
            assert!(key < SLOW, "a sound caller is ended");
            callers[key].is_ended = true;
            callers[key].unsent_bytes = 0;
            callers[key].held(now_ms);
            ended += 1;
        }
        most_bytes = most_bytes.max(allowance.reserved_bytes());
        assert!(allowance.left_bytes() >= 0, "{most_bytes} of {total_bytes} bytes");
    }
    println!("{ended} ended, at most {most_bytes} of {total_bytes} bytes");
    assert!(ended > 0 && ended < SLOW, "{ended} ended");
}

/// Guards against callers that are ended because the entry had no CPU for 1.2 s, and against ending another response
/// than the one with the largest product.
#[test]
fn the_largest_product_of_bytes_and_age_is_ended_first() {
    let held = |bytes, age_ms| Held { bytes, age_ms };
    let after_freeze = [held(1 << 20, 1_200), held(500_000, 1_250)];
    assert_eq!(slow_readers::first_to_end(after_freeze.into_iter().enumerate()), None);
    assert_eq!(slow_readers::first_to_end([((), held(0, 60_000))]), None);
    let slow = [held(1 << 20, MIN_AGE_MS - 1), held(1 << 20, 2_000), held(400_000, 9_000)];
    let first = slow_readers::first_to_end(slow.into_iter().enumerate());
    assert_eq!(first, Some((2, slow[2])));
}

/// Guards against a switch that changes the allowance where it is off, and a size that does not follow the memory.
#[test]
fn the_allowance_follows_the_memory_only_with_overload_control() {
    assert_eq!(BufferAllowance::default().total_bytes(), SHARED_BYTES);
    assert_eq!(BufferAllowance::of_memory(None).total_bytes(), SHARED_BYTES);
    let mut settings = serde_json::json!({
        "id": "e", "region": "r", "zone": "a", "ip": "127.0.0.1", "listen_addr": "127.0.0.1:1",
        "ready_addr": "127.0.0.1:2", "internal_ports": [3, 4], "seeds": [],
        "store_addr": "127.0.0.1:5", "duties_addr": null, "fleet_secret": "", "leave_ms": 0,
        "retries": {"ratio": 0.2, "extra": 1.0, "window_s": 1.0}, "billing_window_s": 1,
        "stop_s": 1.0,
    });
    let total_bytes = |settings: &serde_json::Value| {
        let settings: settings::Gateway = serde_json::from_value(settings.clone()).expect("valid");
        let shared = briarwinch::gateway::shared::Shared::new(settings, 1);
        shared.buffer_allowance.total_bytes()
    };
    assert_eq!(total_bytes(&settings), SHARED_BYTES);
    settings["memory_mb"] = serde_json::json!(120);
    assert_eq!(total_bytes(&settings), SHARED_BYTES);
    settings["overload_control"] = serde_json::json!(true);
    assert_eq!(total_bytes(&settings), 30_000_000);
}

/// Guards against a short response that is refused because of slow readers, or not counted.
#[test]
fn short_responses_are_counted_and_never_refused() {
    let allowance = Arc::new(BufferAllowance::of_memory(Some(1)));
    let [mut long, mut short] = [(); 2].map(|()| Reservation::new(&allowance));
    assert!(long.resize(250_000) && !short.resize(FREE_BYTES + 1));
    assert!(short.resize(FREE_BYTES));
    assert_eq!(allowance.reserved_bytes(), 250_000 + FREE_BYTES);
    drop((long, short));
    assert_eq!(allowance.left_bytes(), 250_000);
}

/// Guards against a cut within an event, also where the HTTP server's pages or the sent part end within one.
#[test]
fn a_stream_is_cut_after_its_first_complete_event() {
    let text = b"ta: 1\n\n\r\n12\r\nid: 2\ndata: 2\n\n\r\n";
    for page_bytes in 1..text.len() {
        assert_eq!(first_event_end(text.chunks(page_bytes)), Some(9), "{page_bytes}");
    }
    assert_eq!(first_event_end([&b"ta: 1\r\n\r\n\r\n"[..]].into_iter()), Some(11));
    assert_eq!(first_event_end([&b"ta: 1\n"[..]].into_iter()), None);
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against decisions that differ from the ones before wherever the switch is off.
    #[test]
    fn the_default_allowance_decides_as_before(
        sizes in prop::collection::vec((0_usize..4, 0_usize..6 << 20), 1..60),
    ) {
        let allowance = Arc::new(BufferAllowance::default());
        let mut reservations = [(); 4].map(|()| Reservation::new(&allowance));
        let (mut left, mut reserved) = (SHARED_BYTES, [0_usize; 4]);
        for (at, bytes) in sizes {
            let needed = bytes.saturating_sub(FREE_BYTES);
            let fits = needed <= left + reserved[at];
            if fits {
                left = left + reserved[at] - needed;
                reserved[at] = needed;
            }
            prop_assert_eq!(reservations[at].resize(bytes), fits);
        }
    }

    /// Guards against an age that is too low, so that a slow reader is kept, or too high by more than a mark's time.
    #[test]
    fn the_age_is_that_of_the_oldest_unsent_byte(
        steps in prop::collection::vec((1_usize..5_000, 0_usize..5_000, 1_u64..200), 1..30),
    ) {
        let (mut unsent, mut bytes, mut now_ms) = (Unsent::default(), Vec::new(), 0);
        for (written, sent, pause_ms) in steps {
            unsent.write(written, now_ms);
            bytes.extend(std::iter::repeat_n(now_ms, written));
            now_ms += pause_ms;
            bytes.drain(..sent.min(bytes.len()));
            let held = unsent.held(bytes.len(), now_ms);
            let age_ms = bytes.first().map_or(0, |at_ms| now_ms - at_ms);
            prop_assert_eq!(held.bytes, bytes.len());
            prop_assert!((age_ms..age_ms + 100).contains(&held.age_ms), "{:?} {}", held, age_ms);
        }
    }
}
