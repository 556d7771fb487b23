//! Whatever bodies do, their memory stays within the bound and is released with them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use dalestand_request_bodies::{
    BodyBuilder, MemoryAccount, NoMemory, Owner, Reservation, SMALL_BODY_BYTES,
};
use proptest::prelude::*;
use proptest::sample::Index;

const LIMIT: usize = 8 * SMALL_BODY_BYTES;

type Growing = Pin<Box<dyn Future<Output = Result<(), NoMemory>>>>;

#[derive(Clone, Debug)]
enum Step {
    Open { owner: u64 },
    Grow { body: Index, bytes: usize },
    Complete { body: Index },
    Cancel { body: Index },
    Drop { body: Index },
}

fn step() -> impl Strategy<Value = Step> {
    let body = any::<Index>;
    prop_oneof![
        2 => (0..3_u64).prop_map(|owner| Step::Open { owner }),
        6 => (body(), 0..3 * SMALL_BODY_BYTES).prop_map(|(body, bytes)| Step::Grow { body, bytes }),
        1 => body().prop_map(|body| Step::Complete { body }),
        1 => body().prop_map(|body| Step::Cancel { body }),
        2 => body().prop_map(|body| Step::Drop { body }),
    ]
}

struct TestBody {
    reservation: Rc<Reservation>,
    growing: Option<(Growing, usize)>,
    granted: usize,
}

impl TestBody {
    /// Lets a growth that waits go on; returns whether the body must be dropped.
    fn poll(&mut self) -> bool {
        let Some((growing, bytes)) = &mut self.growing else {
            return false;
        };
        let mut context = Context::from_waker(Waker::noop());
        match growing.as_mut().poll(&mut context) {
            Poll::Pending => return false,
            Poll::Ready(Ok(())) => self.granted += *bytes,
            Poll::Ready(Err(NoMemory)) => return true,
        }
        self.growing = None;
        false
    }
}

proptest! {
    #[test]
    fn memory_stays_within_the_bound_and_is_released(steps in prop::collection::vec(step(), 1..120)) {
        let account = MemoryAccount::new(LIMIT);
        let mut bodies: Vec<TestBody> = Vec::new();
        for step in steps {
            match step {
                Step::Open { owner } => bodies.push(TestBody {
                    reservation: Rc::new(account.open(Owner::Tenant(owner))),
                    growing: None,
                    granted: 0,
                }),
                _ if bodies.is_empty() => {}
                Step::Grow { body, bytes } => {
                    let body = body.get_mut(&mut bodies);
                    if body.growing.is_none() {
                        let reservation = Rc::clone(&body.reservation);
                        let growing = Box::pin(async move { reservation.grow(bytes).await });
                        body.growing = Some((growing, bytes));
                    }
                }
                Step::Complete { body } => body.get(&bodies).reservation.complete(),
                Step::Cancel { body } => body.get_mut(&mut bodies).growing = None,
                Step::Drop { body } => drop(bodies.swap_remove(body.index(bodies.len()))),
            }
            bodies.retain_mut(|body| !body.poll());
            let usage = account.usage();
            prop_assert!(usage.bytes <= LIMIT);
            prop_assert_eq!(usage.bytes, bodies.iter().map(|body| body.granted).sum::<usize>());
            prop_assert_eq!(usage.bodies, bodies.len());
        }
        drop(bodies);
        prop_assert_eq!((account.usage().bytes, account.usage().bodies), (0, 0));
    }

    #[test]
    fn a_body_has_the_bytes_that_were_appended(
        lengths in prop::collection::vec(0..20_000_usize, 0..20),
        is_declared in any::<bool>(),
    ) {
        let whole: Vec<u8> = (0..lengths.iter().sum()).map(|index: usize| index as u8).collect();
        let account = MemoryAccount::new(LIMIT);
        let declared = is_declared.then_some(whole.len());
        let mut builder = BodyBuilder::new(account.open(Owner::Unknown), declared);
        let mut context = Context::from_waker(Waker::noop());
        let mut rest = &whole[..];
        for length in lengths {
            let (part, others) = rest.split_at(length);
            rest = others;
            let appended = Box::pin(builder.append(part)).as_mut().poll(&mut context);
            prop_assert_eq!(appended, Poll::Ready(Ok(())));
        }
        let body = builder.finish();
        prop_assert_eq!(body.len(), whole.len());
        prop_assert_eq!(&body.to_bytes()[..], &whole[..]);
        if is_declared {
            let held: usize = body.segments().iter().map(bytes::Bytes::len).sum();
            prop_assert!(account.usage().bytes <= held, "no more than was received");
        }
        drop(body);
        prop_assert_eq!(account.usage().bytes, 0);
    }
}
