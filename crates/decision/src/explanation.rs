//! Explanations of decisions, as text for operators.

use std::fmt::Write as _;

use dalestand_types::Placement;

use crate::{
    AttemptOutcome, AttemptRecord, Candidate, Exclusion, RequestRecord, RequestTerms, RoleRecord,
};

/// Explains the decisions about a request.
pub fn request_explanation(record: &RequestRecord) -> String {
    let mut text = format!(
        "request {} for model {} under configuration {}",
        record.request, record.model, record.revision
    );
    if let Some(tenant) = &record.tenant {
        let _ = write!(text, ", tenant {tenant}");
    }
    text.push_str(&terms_text(&record.terms));
    text.push('\n');
    for (number, attempt) in record.attempts.iter().enumerate() {
        text.push_str(&attempt_text(number + 1, attempt));
    }
    if let Some(decision) = &record.no_engine {
        let _ = writeln!(
            text,
            "  no engine after {} ms: {}; to come back in {} ms",
            decision.after_ms, decision.reason, decision.retry_after_ms
        );
        text.push_str(&candidates_text(&decision.candidates));
    }
    if let Some(refusal) = &record.refusal {
        let _ = writeln!(text, "  refused: {refusal}");
    }
    match record.run_state {
        Some(state) => {
            let _ = writeln!(text, "  result: {}", state.as_str());
        }
        None => text.push_str("  result: still running\n"),
    }
    text
}

fn terms_text(terms: &RequestTerms) -> String {
    let mut text = String::new();
    if let Some(class) = &terms.class {
        let _ = write!(text, ", class {class}");
    }
    let _ = write!(text, ", priority {}", terms.priority.0);
    if let Some(deadline) = terms.deadline_ms {
        let _ = write!(text, ", deadline {deadline} ms");
    }
    text
}

fn attempt_text(number: usize, attempt: &AttemptRecord) -> String {
    let mut text = format!(
        "  attempt {number} after {} ms: {}engine {} ({})\n",
        attempt.after_ms,
        placement_text(attempt.placement),
        attempt.engine,
        outcome_text(&attempt.outcome)
    );
    text.push_str(&candidates_text(&attempt.candidates));
    text
}

fn candidates_text(candidates: &[Candidate]) -> String {
    let mut text = String::new();
    for candidate in candidates {
        let verdict = match (candidate.score, candidate.exclusion) {
            (_, Some(exclusion)) => format!("left out: {}", exclusion_text(exclusion)),
            (Some(score), None) => format!("score {score:.1} ms"),
            (None, None) => "not scored".to_owned(),
        };
        let _ = writeln!(
            text,
            "    {}: {verdict}, known {} ms ago",
            candidate.engine, candidate.information_age_ms
        );
    }
    text
}

fn exclusion_text(exclusion: Exclusion) -> &'static str {
    match exclusion {
        Exclusion::Leaving => "leaving or drained",
        Exclusion::OutOfService => "out of service for a role change",
        Exclusion::WrongRole => "its role does not run this phase",
        Exclusion::NotLoaded => "the model or adapter is not loaded",
        Exclusion::Full => "full",
        Exclusion::AlreadyTried => "tried before",
        Exclusion::Silent => "nothing heard of it for too long",
    }
}

fn placement_text(placement: Placement) -> &'static str {
    match placement {
        Placement::Whole => "",
        Placement::PrefillOnly => "prompt on ",
        Placement::DecodeOnly => "output on ",
    }
}

fn outcome_text(outcome: &AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Running => "running".to_owned(),
        AttemptOutcome::Prefilled => "prompt run, cache held for export".to_owned(),
        AttemptOutcome::Complete { tokens } => format!("complete, {tokens} tokens"),
        AttemptOutcome::NotRun { reason } => format!("not run: {reason}"),
        AttemptOutcome::Unknown { reason } => format!("unknown whether it ran: {reason}"),
        AttemptOutcome::Cancelled { tokens } => format!("cancelled after {tokens} tokens"),
    }
}

/// Explains a role decision.
pub fn role_change_explanation(record: &RoleRecord) -> String {
    let from = record
        .from
        .map_or_else(|| "out of service".to_owned(), |role| role.to_string());
    format!(
        "order {} to engine {} of {}: {from} to {}, epoch {}, configuration {}, on reports up to \
         {} ms old: {}\n",
        record.order,
        record.engine,
        record.group,
        record.to,
        record.epoch,
        record.revision,
        record.information_age_ms,
        record.reason
    )
}
