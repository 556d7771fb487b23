//! Each caller receives the complete answer to its own request.

use std::collections::HashMap;

use dalestand_types::RequestId;

use crate::event::{Event, History, RequestEnd, Violation};

struct Answer<'a> {
    expected: &'a str,
    received: String,
}

/// Checks that the text a caller has received is always a prefix of the expected answer, and all of it when the
/// request ends as complete.
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
                    let message = format!("received text for {request}, which was not sent");
                    return Err(Violation::new(index, message));
                };
                answer.received.push_str(text);
                if !answer.expected.starts_with(&answer.received) {
                    let message = format!(
                        "{request} received {text:?}, which does not continue its expected answer"
                    );
                    return Err(Violation::new(index, message));
                }
            }
            Event::RequestEnded {
                request,
                end: RequestEnd::Complete,
            } => {
                let is_complete = answers
                    .get(request)
                    .is_some_and(|answer| answer.received == answer.expected);
                if !is_complete {
                    let message =
                        format!("{request} ended as complete without its complete answer");
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    Ok(())
}
