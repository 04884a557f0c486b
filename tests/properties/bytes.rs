//! Property tests of all parsers with arbitrary bytes: no panic, and memory within its limits.

use briarwinch::config::Config;
use briarwinch::seal::{self, Opener, Sealer, Secret};
use briarwinch::{keys, openai, settings, trace, wire};
use proptest::prelude::*;

fn secret() -> Secret {
    Secret::fleet("a secret of the tests")
}

/// Generates texts that are similar enough to valid ones to pass the first checks.
fn near_text() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(":"),
        Just(","),
        Just("\"classes\""),
        Just("\"services\""),
        Just("\"accounts\""),
        Just("\"daemon\""),
        Just("\"c\""),
        Just("\"latency_target_ms\""),
        Just("\"priority\""),
        Just("1"),
        Just("-1"),
        Just("1e999"),
        Just("null"),
        Just("// x\n"),
        Just("/*"),
        Just("\"\\ud800\""),
        Just("\u{feff}"),
        Just(" "),
    ];
    prop::collection::vec(word, 0..60).prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(crate::cases(3000))]

    /// Guards against a panic on any configuration, settings, request body, trace header or key.
    #[test]
    fn texts_never_panic(text in prop_oneof![near_text(), any::<String>()]) {
        let _ = Config::parse(&text);
        let _ = settings::parse::<settings::Entry>(&text);
        let _ = settings::parse::<settings::Side>(&text);
        let _ = openai::parse(text.as_bytes());
        let _ = trace::Context::parse(&text);
        let _ = keys::Table::default().check(&text);
        let _ = keys::parse_id(&text);
    }

    /// Guards against a panic on any datagram, and against opening one that was not sealed.
    #[test]
    fn datagrams_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        prop_assert!(seal::open_datagram::<wire::Datagram>(&secret(), &bytes).is_err());
    }

    /// Frames arrive in any chunks, with any byte changed. Guards against opening messages other than
    /// the sealed ones, or in another order.
    #[test]
    fn frames_open_only_as_they_were_sealed(
        messages in prop::collection::vec("[a-z]{0,200}", 1..10),
        cut in 1..64_usize,
        flip in prop::option::of((any::<prop::sample::Index>(), 1..=255_u8)),
    ) {
        let mut bytes = Vec::new();
        let mut sealer = Sealer::new(secret());
        for message in &messages {
            sealer.seal(message, &mut bytes).expect("short");
        }
        if let Some((index, mask)) = flip {
            let at = index.index(bytes.len());
            bytes[at] ^= mask;
        }
        let mut opener = Opener::new(secret());
        let mut opened: Vec<String> = Vec::new();
        'all: for piece in bytes.chunks(cut) {
            opener.push(piece);
            loop {
                match opener.read::<String>() {
                    Ok(Some(message)) => opened.push(message),
                    Ok(None) => break,
                    Err(_) => break 'all,
                }
            }
        }
        prop_assert_eq!(&opened[..], &messages[..opened.len()]);
        prop_assert_eq!(opened.len() == messages.len(), flip.is_none());
    }

    /// Guards against a link that buffers arbitrary bytes beyond the maximum frame length.
    #[test]
    fn garbage_on_a_link_is_refused(bytes in prop::collection::vec(any::<u8>(), 4..5000)) {
        let mut opener = Opener::new(secret());
        opener.push(&bytes);
        let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        match opener.read::<wire::ToSide>() {
            Ok(Some(_)) => prop_assert!(false, "garbage opened"),
            Ok(None) => prop_assert!(length <= seal::MAX_FRAME_BYTES && length > bytes.len() - 4),
            Err(_) => {}
        }
    }
}

/// Guards against a replayed frame, or a frame of another link, that opens.
#[test]
fn replayed_frame_does_not_open() {
    let mut bytes = Vec::new();
    Sealer::new(secret().link_key(1, 2)).seal(&"order".to_owned(), &mut bytes).expect("short");
    let mut other = Opener::new(secret().link_key(1, 3));
    other.push(&bytes);
    assert_eq!(other.read::<String>(), Err(seal::Reject::Seal));
    let mut same = Opener::new(secret().link_key(1, 2));
    same.push(&bytes);
    same.push(&bytes);
    assert_eq!(same.read::<String>(), Ok(Some("order".to_owned())));
    assert_eq!(same.read::<String>(), Err(seal::Reject::Seal));
}

/// Guards against input that is nested deeply enough to overflow the stack of a recursive parser.
#[test]
fn deep_nesting_is_refused() {
    for open in ["[", "{\"a\":"] {
        let mistake = Config::parse(&open.repeat(100_000)).expect_err("too deep");
        assert!(mistake.message.contains("nested deeper"), "{mistake}");
    }
    // The parser of request bodies has its own nesting limit.
    assert!(openai::parse("[".repeat(100_000).as_bytes()).is_err());
}
