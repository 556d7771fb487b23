//! The splitter of event streams.

use dalestand_forwarding::EventSplitter;
use proptest::prelude::*;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn event(id: usize, data_lines: &[String], line_end: &str) -> String {
    let mut text = format!("id: {id}{line_end}");
    for line in data_lines {
        text.push_str(&format!("data: {line}{line_end}"));
    }
    text.push_str(line_end);
    text
}

/// Splits `bytes` at the positions.
fn reads<'a>(bytes: &'a [u8], positions: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = positions
        .iter()
        .map(|position| position.index(bytes.len() + 1))
        .chain([0, bytes.len()])
        .collect();
    places.sort_unstable();
    places
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

proptest! {
    /// Guards against a stream that was cut within an event and not recognized as such, at any byte and however its
    /// bytes arrive.
    #[test]
    fn a_stream_cut_at_any_byte_gives_its_whole_events_and_shows_the_cut(
        events in prop::collection::vec(prop::collection::vec("[ -~]{0,80}", 1..4), 1..6),
        line_end in prop::sample::select(&LINE_ENDS),
        cut in any::<prop::sample::Index>(),
        positions in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let texts: Vec<String> = events
            .iter()
            .enumerate()
            .map(|(id, lines)| event(id, lines, line_end))
            .collect();
        let stream = texts.concat();
        let cut = cut.index(stream.len() + 1);
        let mut splitter = EventSplitter::default();
        let mut received = Vec::new();
        for read in reads(&stream.as_bytes()[..cut], &positions) {
            splitter.push(read);
            while let Some(event) = splitter.next_event() {
                received.push(event);
            }
        }
        let mut end = 0;
        let whole = texts.iter().take_while(|text| {
            end += text.len();
            end <= cut
        });
        let whole: Vec<&[u8]> = whole.map(|text| text.as_bytes()).collect();
        let bytes: Vec<&[u8]> = received.iter().map(|event| &event.bytes[..]).collect();
        prop_assert_eq!(&bytes, &whole);
        let ids: Vec<Option<u64>> = received.iter().map(|event| event.id).collect();
        let expected: Vec<Option<u64>> = (0..whole.len() as u64).map(Some).collect();
        prop_assert_eq!(ids, expected);
        let is_between_events = whole.concat().len() == cut;
        prop_assert_eq!(splitter.is_inside_event(), !is_between_events);
    }
}
