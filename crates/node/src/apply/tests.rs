//! An apply is said to be accepted only when that is certain, and never refused when it stands.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};
use dalestand_standin::key_value::Store;
use dalestand_types::Revision;
use error_stack::Report;

use super::{Draft, apply};
use crate::configuration::CONFIGURATION_KEY;
use crate::error::ApplyError;

const TEXT: &str = "format = 1\nname = \"t\"\ncallers.require_key = false\n\
    [[model]]\nname = \"m\"\nversion = \"1\"\nweights_gib = 1.0\n\
    [[pool]]\nname = \"p\"\nmodels = [\"m\"]\n\
    [[group]]\npool = \"p\"\nzone = \"z\"\nengines = [\"e\"]\n";

/// What becomes of one write.
enum Fate {
    /// It takes effect, its answer is lost, and another operator then applies this many times.
    AnswerLost { followers: usize },
    /// It takes effect only when the next write has been answered, and is not answered itself.
    Late,
    /// It is lost, and another operator then applies.
    LostBefore { followers: usize },
    /// It is refused without effect.
    Refused,
}

type LateWrite = (WriteExpectation, String);

#[derive(Default)]
struct Script {
    store: RefCell<Store>,
    fates: RefCell<VecDeque<Fate>>,
    late: RefCell<Option<LateWrite>>,
}

fn in_doubt() -> Report<PlatformError> {
    Report::new(PlatformError::InDoubt {
        system: "key-value service",
        message: "lost".to_owned(),
    })
}

impl Script {
    fn new(fates: impl IntoIterator<Item = Fate>) -> Self {
        Self {
            fates: RefCell::new(fates.into_iter().collect()),
            ..Self::default()
        }
    }

    fn write(&self, expectation: WriteExpectation, value: &str) -> CasOutcome {
        let value = Some(value.to_owned());
        let mut store = self.store.borrow_mut();
        let outcome = store.compare_and_swap(CONFIGURATION_KEY, expectation, value, None);
        outcome.expect("a write without a lease")
    }

    async fn others_apply(&self, times: usize) {
        for number in 0..times {
            let other = Box::pin(apply(self, None, draft(&format!("other {number}"))));
            other.await.expect("the other operator is not disturbed");
        }
    }
}

#[async_trait(?Send)]
impl KeyValue for Script {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(self.store.borrow().get(key))
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        Ok(self.store.borrow().range(prefix))
    }

    async fn compare_and_swap(
        &self,
        _key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let value = value.unwrap_or_default();
        let fate = self.fates.borrow_mut().pop_front();
        match fate {
            None => {
                let outcome = self.write(expectation, value);
                if let Some((expectation, value)) = self.late.take() {
                    self.write(expectation, &value);
                }
                Ok(outcome)
            }
            Some(Fate::AnswerLost { followers }) => {
                self.write(expectation, value);
                self.others_apply(followers).await;
                Err(in_doubt())
            }
            Some(Fate::LostBefore { followers }) => {
                self.others_apply(followers).await;
                Err(in_doubt())
            }
            Some(Fate::Late) => {
                self.late.replace(Some((expectation, value.to_owned())));
                Err(in_doubt())
            }
            Some(Fate::Refused) => Err(Report::new(PlatformError::OutOfService {
                retry_after: None,
                system: "key-value service",
            })),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        _wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        Ok(self.store.borrow().changes(prefix, after))
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>> {
        let mut store = self.store.borrow_mut();
        Ok(store.grant_lease(time_to_live, Instant::now()))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Ok(self.store.borrow_mut().renew_lease(lease, Instant::now()))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.store.borrow_mut().revoke_lease(lease);
        Ok(())
    }
}

fn draft(author: &str) -> Draft {
    Draft {
        writer: format!("writer {author}"),
        author: author.to_owned(),
        unix_ms: 1_700_000_000_000,
        text: TEXT.to_owned(),
    }
}

async fn outcome(script: &Script) -> Result<Revision, ApplyError> {
    let applied = apply(script, None, draft("me"))
        .await
        .map(|one| one.revision);
    applied.map_err(|report| report.current_context().clone())
}

#[actix_rt::test]
async fn a_write_that_was_not_answered_is_accepted_under_its_own_revision() {
    let script = Script::new([Fate::AnswerLost { followers: 0 }]);
    assert_eq!(outcome(&script).await, Ok(Revision(1)));
}

#[actix_rt::test]
async fn a_write_that_was_replaced_meanwhile_is_still_known() {
    let script = Script::new([Fate::AnswerLost { followers: 3 }]);
    assert_eq!(outcome(&script).await, Ok(Revision(1)));
}

#[actix_rt::test]
async fn a_write_that_lands_late_takes_effect_once() {
    let script = Script::new([Fate::Late]);
    assert_eq!(outcome(&script).await, Ok(Revision(1)));
    let changes = script.store.borrow().changes("", Revision(0));
    assert_eq!(changes.events.len(), 1);
}

#[actix_rt::test]
async fn a_write_that_others_overtook_is_refused_for_certain() {
    let script = Script::new([Fate::LostBefore { followers: 2 }]);
    assert_eq!(outcome(&script).await, Err(ApplyError::Conflict));
}

#[actix_rt::test]
async fn a_write_that_too_many_others_overtook_stays_in_doubt() {
    let script = Script::new([Fate::LostBefore { followers: 20 }]);
    assert_eq!(outcome(&script).await, Err(ApplyError::InDoubt));
}

#[actix_rt::test]
async fn an_outage_after_a_doubt_is_no_proof_that_nothing_was_applied() {
    let fates = [
        Fate::AnswerLost { followers: 0 },
        Fate::Refused,
        Fate::Refused,
        Fate::Refused,
    ];
    let script = Script::new(fates);
    assert_eq!(outcome(&script).await, Err(ApplyError::InDoubt));
    let refused = Script::new([Fate::Refused]);
    assert_eq!(outcome(&refused).await, Err(ApplyError::Unavailable));
}

#[actix_rt::test]
async fn the_loser_is_told_by_whom_which_and_when() {
    let script = Script::default();
    apply(&script, None, draft("first")).await.expect("applied");
    let late = apply(&script, Some(Revision(0)), draft("second")).await;
    let report = format!("{:?}", late.expect_err("a conflict"));
    assert!(
        report.contains("revision 1 stands there, applied by first at 2023-11-14T22:13:20Z"),
        "{report}"
    );
}
