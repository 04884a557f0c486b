//! Splitting of JSON text: agrees with a decoder where that accepts the text, and goes on where it does not.

use briarwinch::raw_json;
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::cases;

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<i32>().prop_map(|eighths| Value::from(f64::from(eighths) / 8.0)),
        ".{0,8}".prop_map(Value::from),
        r#"[\[\]{}",:\\]{0,8}"#.prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map("[a-z]{1,6}", inner, 0..6).prop_map(Value::from_iter),
        ]
    })
}

fn texts(value: &Value) -> [Vec<u8>; 2] {
    [value.to_string(), format!(" {value:#}\n")].map(String::into_bytes)
}

fn decoded(text: &[u8]) -> Value {
    serde_json::from_slice(text).expect("a part is valid JSON")
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn parts_are_those_that_a_decoder_finds(
        elements in prop::collection::vec(any_json(), 0..6),
        members in prop::collection::btree_map("[a-z]{1,6}", any_json(), 0..6),
    ) {
        for text in texts(&Value::from(elements.clone())) {
            let parts = raw_json::elements(&text).expect("an array");
            let parts: Vec<Value> = parts.into_iter().map(decoded).collect();
            prop_assert_eq!(&parts, &elements);
        }
        for text in texts(&Value::from_iter(members.clone())) {
            for (name, value) in &members {
                let found = raw_json::member(&text, name).map(decoded);
                prop_assert_eq!(found.as_ref(), Some(value));
            }
            prop_assert_eq!(raw_json::member(&text, "ABSENT"), None);
        }
    }

    /// Guards against a part that spoils its neighbours.
    #[test]
    fn parts_beside_any_text_are_found(inner in prop::collection::vec(any::<u8>(), 0..20), depth in 0_usize..10_000) {
        // The bytes stand in a string, as they may in one that is not UTF-8.
        let inner: Vec<u8> = inner.into_iter().filter(|byte| !b"\"\\".contains(byte)).collect();
        let nested = [vec![b'['; depth], vec![b'{'; depth], vec![b'}'; depth], vec![b']'; depth]].concat();
        let text = [b"[\"".as_slice(), &inner, b"\",[", &nested, b"],{\"name\":7}]"].concat();
        let parts = raw_json::elements(&text).expect("an array");
        prop_assert_eq!(parts.len(), 3);
        prop_assert_eq!(raw_json::member(parts[2], "name"), Some(b"7".as_slice()));
    }

    /// Guards against text that ends anywhere.
    #[test]
    fn cut_text_has_no_parts(value in any_json(), cut in any::<prop::sample::Index>()) {
        let text = json!({"name": value}).to_string().into_bytes();
        let cut = &text[..cut.index(text.len())];
        prop_assert_eq!(raw_json::member(cut, "absent"), None);
        prop_assert_eq!(raw_json::elements(cut), None);
        let array = [b"[".as_slice(), cut].concat();
        prop_assert_eq!(raw_json::elements(&array), None);
    }
}
