//! Each checker accepts histories that satisfy its rule and names the first event that violates it.

use std::time::Duration;

use dalestand_history::checks::{
    answers_are_complete, at_most_once, configuration_in_force, configuration_never_reverts,
    no_conflicting_orders, no_request_interrupted, no_stale_orders, no_work_for_leaving_engines,
    refused_requests_did_not_run,
};
use dalestand_history::{
    EngineLogEntry, EngineLogLine, Event, History, OrderLogEntry, RecordedEvent, RequestEnd,
    RunLogEntry, RunLogEvent, Violation,
};
use dalestand_types::{
    AttemptId, EngineId, Epoch, GroupId, Incarnation, MonotonicTime, NodeId, Order, OrderCommand,
    OrderId, RequestId, Revision, Role,
};
use rstest::rstest;

/// A history with one event per second.
fn history(events: Vec<Event>) -> History {
    let recorded = events.into_iter().enumerate();
    let events = recorded.map(|(second, event)| RecordedEvent {
        at: MonotonicTime::from_millis(second as u64 * 1_000),
        event,
    });
    History {
        events: events.collect(),
    }
}

fn engine_line(incarnation: u64, entry: EngineLogEntry) -> Event {
    Event::Engine(EngineLogLine {
        engine: EngineId::from("e"),
        incarnation: Incarnation(incarnation),
        entry,
    })
}

fn id(epoch: u64, number: u64) -> OrderId {
    OrderId {
        epoch: Epoch(epoch),
        number,
    }
}

fn order(id: OrderId, follows: Option<OrderId>) -> Order {
    Order {
        id,
        follows,
        incarnation: Incarnation(1),
        revision: Revision(1),
        command: OrderCommand::AssumeRole { role: Role::Decode },
    }
}

fn raised(epoch: u64) -> Event {
    let entry = OrderLogEntry::EpochRaised {
        at_micros: 0,
        incarnation: Incarnation(1),
        epoch: Epoch(epoch),
    };
    engine_line(1, EngineLogEntry::Order(entry))
}

fn taken(incarnation: u64, id: OrderId, follows: Option<OrderId>) -> Event {
    let order = order(id, follows);
    let entry = OrderLogEntry::Taken {
        at_micros: 0,
        order,
    };
    engine_line(incarnation, EngineLogEntry::Order(entry))
}

fn done(id: OrderId) -> Event {
    let entry = OrderLogEntry::Done {
        at_micros: 0,
        order: order(id, None),
        role: None,
    };
    engine_line(1, EngineLogEntry::Order(entry))
}

fn granted(epoch: u64) -> Event {
    Event::LeaseGranted {
        group: GroupId::from("g"),
        node: NodeId::from("n"),
        epoch: Epoch(epoch),
    }
}

fn accepted(request: u128, attempt: u128, key: &str) -> Event {
    let entry = RunLogEntry {
        at_micros: 0,
        request: RequestId(request),
        attempt: AttemptId(attempt),
        once_key: Some(key.to_owned()),
        event: RunLogEvent::Accepted,
    };
    engine_line(1, EngineLogEntry::Run(entry))
}

fn sent(request: u128) -> Event {
    Event::RequestSent {
        request: RequestId(request),
        expected: format!("answer {request}"),
    }
}

fn received(request: u128, text: &str) -> Event {
    Event::TextReceived {
        request: RequestId(request),
        text: text.to_owned(),
    }
}

fn ended(request: u128, end: RequestEnd) -> Event {
    Event::RequestEnded {
        request: RequestId(request),
        end,
    }
}

fn in_force(node: &str, revision: u64) -> Event {
    Event::ConfigurationInForce {
        node: NodeId::from(node),
        revision: Revision(revision),
    }
}

fn leaving() -> Event {
    Event::EngineLeaving {
        engine: EngineId::from("e"),
    }
}

fn accepted_configuration(revision: u64) -> Event {
    Event::ConfigurationAccepted {
        revision: Revision(revision),
    }
}

fn violation_index(result: Result<(), Violation>) -> Option<usize> {
    result.err().map(|violation| violation.index)
}

#[rstest]
#[case::one_after_the_other(vec![taken(1, id(5, 0), None), done(id(5, 0)), taken(1, id(6, 0), Some(id(5, 0)))], None)]
#[case::two_at_once(vec![taken(1, id(5, 0), None), taken(1, id(6, 0), Some(id(5, 0)))], Some(1))]
#[case::does_not_follow(vec![taken(1, id(5, 0), None), done(id(5, 0)), taken(1, id(5, 1), None)], Some(2))]
#[case::addressed_to_another_incarnation(vec![taken(2, id(5, 0), None)], Some(0))]
#[case::finished_twice(vec![taken(1, id(5, 0), None), done(id(5, 0)), done(id(5, 0))], Some(2))]
fn orders_do_not_conflict(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(
        violation_index(no_conflicting_orders(&history(events))),
        expected
    );
}

#[rstest]
#[case::rising(vec![granted(5), raised(5), taken(1, id(5, 0), None), granted(6), raised(6)], None)]
#[case::outdated(vec![granted(5), granted(6), raised(6), taken(1, id(5, 0), None)], Some(3))]
#[case::outdated_after_a_restart(vec![granted(5), granted(6), raised(6), taken(2, id(5, 0), None)], Some(3))]
#[case::never_granted(vec![granted(5), taken(1, id(7, 0), None)], Some(1))]
#[case::granted_twice(vec![granted(5), granted(5)], Some(1))]
fn orders_are_fenced(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(violation_index(no_stale_orders(&history(events))), expected);
}

#[rstest]
#[case::two_keys(vec![accepted(1, 1, "a"), accepted(2, 2, "b")], None)]
#[case::one_key_twice(vec![accepted(1, 1, "a"), accepted(2, 2, "a")], Some(1))]
fn a_key_runs_once(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(violation_index(at_most_once(&history(events))), expected);
}

#[rstest]
#[case::refused_and_not_run(vec![ended(1, RequestEnd::NotRun), accepted(2, 2, "a")], None)]
#[case::refused_and_run_later(vec![ended(1, RequestEnd::NotRun), accepted(1, 1, "a")], Some(1))]
#[case::run_and_refused_later(vec![accepted(1, 1, "a"), ended(1, RequestEnd::NotRun)], Some(0))]
fn a_refused_request_did_not_run(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(
        violation_index(refused_requests_did_not_run(&history(events))),
        expected
    );
}

#[rstest]
#[case::complete_in_two_parts(vec![sent(1), received(1, "answer "), received(1, "1"), ended(1, RequestEnd::Complete)], None)]
#[case::text_of_another_request(vec![sent(1), sent(2), received(1, "answer 2")], Some(2))]
#[case::repeated_text(vec![sent(1), received(1, "answer "), received(1, "answer ")], Some(2))]
#[case::incomplete(vec![sent(1), received(1, "answer "), ended(1, RequestEnd::Complete)], Some(2))]
#[case::request_not_sent(vec![received(1, "answer ")], Some(0))]
fn answers_are_complete_and_correct(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(
        violation_index(answers_are_complete(&history(events))),
        expected
    );
}

#[rstest]
#[case::complete(vec![sent(1), received(1, "answer 1"), ended(1, RequestEnd::Complete)], None)]
#[case::refused_at_once(vec![sent(1), ended(1, RequestEnd::NotRun)], None)]
#[case::aborted(vec![sent(1), received(1, "a"), ended(1, RequestEnd::Unknown)], Some(2))]
#[case::refused_after_text(vec![sent(1), received(1, "a"), ended(1, RequestEnd::NotRun)], Some(2))]
#[case::never_ended(vec![sent(1)], Some(1))]
fn planned_changes_interrupt_no_request(
    #[case] events: Vec<Event>,
    #[case] expected: Option<usize>,
) {
    assert_eq!(
        violation_index(no_request_interrupted(&history(events))),
        expected
    );
}

#[rstest]
#[case::within_the_grace(vec![leaving(), accepted(1, 1, "a")], None)]
#[case::late(vec![leaving(), leaving(), accepted(1, 1, "a")], Some(2))]
fn a_leaving_engine_gets_no_work(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    let grace = Duration::from_millis(1_500);
    let result = no_work_for_leaving_engines(&history(events), grace);
    assert_eq!(violation_index(result), expected);
}

#[rstest]
#[case::rising(vec![in_force("a", 1), in_force("b", 2), in_force("a", 2)], None)]
#[case::reverted(vec![in_force("a", 2), in_force("b", 1), in_force("a", 1)], Some(2))]
fn a_configuration_never_reverts(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    assert_eq!(
        violation_index(configuration_never_reverts(&history(events))),
        expected
    );
}

#[rstest]
#[case::in_time(vec![accepted_configuration(2), in_force("a", 1), in_force("a", 2)], None)]
#[case::late(vec![accepted_configuration(2), in_force("a", 1), in_force("a", 1)], Some(2))]
fn a_configuration_comes_into_force(#[case] events: Vec<Event>, #[case] expected: Option<usize>) {
    let limit = Duration::from_millis(1_500);
    assert_eq!(
        violation_index(configuration_in_force(&history(events), limit)),
        expected
    );
}
