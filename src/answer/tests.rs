use super::events::EventScanner;
use proptest::prelude::*;

fn is_between(text: &str) -> bool {
    let mut scanner = EventScanner::default();
    scanner.scan(text.as_bytes());
    scanner.is_between_events()
}

#[test]
fn an_event_ends_with_an_empty_line_of_any_kind() {
    for end in ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n", "\n\r", "\r\r\n", "\r\n\r"] {
        assert!(is_between(&format!("id: 1\ndata: x{end}")), "{end:?}");
        assert!(is_between(&format!("id: 1\rdata: x{end}: a comment\n")), "{end:?}");
        assert!(!is_between(&format!("id: 1\ndata: x{end}id: 2{end}d")), "{end:?}");
    }
    for end in ["", "\n", "\r\n", "\r"] {
        assert!(!is_between(&format!("id: 1\ndata: x{end}")), "{end:?}");
    }
}

#[test]
fn a_stream_without_events_is_between_events() {
    for text in ["", "\n\n", ": a comment\n", "\u{feff}", "\u{feff}: a comment\r\n", ":\n\n"] {
        assert!(is_between(text), "{text:?}");
    }
    for text in [": half a comm", "\u{feff}data", "data"] {
        assert!(!is_between(text), "{text:?}");
    }
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// A whole stream is never called broken, whatever its line ends are, and one that is cut
    /// anywhere inside an event is.
    #[test]
    fn a_stream_is_between_events_exactly_after_empty_lines(
        events in proptest::collection::vec(
            ("[a-z]{1,5}", "[ -9;-~]{0,4}", 0usize..3, 0usize..3), 1..8),
        at in any::<prop::sample::Index>(),
    ) {
        let ends = ["\n", "\r\n", "\r"];
        let mut text = String::new();
        // The offsets at which the stream is whole: after the empty line, and after each of the
        // two bytes of a CRLF that ends it.
        let mut whole = vec![0];
        for (name, value, line_end, empty_line) in events {
            // After a CR, an LF would belong to the same line end.
            let empty_line = if ends[line_end] == "\r" && empty_line == 0 { 2 } else { empty_line };
            text += &format!("{name}:{value}{}{}", ends[line_end], ends[empty_line]);
            whole.push(text.len());
            if ends[empty_line] == "\r\n" {
                whole.push(text.len() - 1);
            }
        }
        prop_assert!(is_between(&text));
        let cut = at.index(text.len() + 1);
        let (before, after) = text.split_at(cut);
        prop_assert_eq!(is_between(before), whole.contains(&cut), "{:?}", before);
        let mut scanner = EventScanner::default();
        scanner.scan(before.as_bytes());
        scanner.scan(after.as_bytes());
        prop_assert!(scanner.is_between_events());
    }
}
