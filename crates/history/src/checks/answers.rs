//! Each caller receives the whole answer to its own request.

use std::collections::HashMap;

use dalestand_types::RequestId;

use crate::event::{Event, History, RequestEnd, Violation};

struct Answer<'a> {
    expected: &'a str,
    received: String,
}

/// Checks that what a caller receives is always the start of the right answer, and all of it when
/// the request is complete.
pub fn answers_are_complete(history: &History) -> Result<(), Violation> {
    let mut answers: HashMap<RequestId, Answer> = HashMap::new();
    for (index, recorded) in history.events.iter().enumerate() {
        match &recorded.event {
            Event::RequestSent { request, expected } => {
                let received = String::new();
                answers.insert(*request, Answer { expected, received });
            }
            Event::TextReceived { request, text } => {
                let Some(answer) = answers.get_mut(request) else {
                    let message = format!("text for {request}, which was not sent");
                    return Err(Violation::new(index, message));
                };
                answer.received.push_str(text);
                if !answer.expected.starts_with(&answer.received) {
                    let message = format!("{request} received {text:?}, not of its answer");
                    return Err(Violation::new(index, message));
                }
            }
            Event::RequestEnded {
                request,
                end: RequestEnd::Complete,
            } => {
                let whole = answers
                    .get(request)
                    .is_some_and(|answer| answer.received == answer.expected);
                if !whole {
                    let message = format!("{request} is called complete and is not");
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    Ok(())
}
