//! Detection of prompt parts that crash the engines that begin to answer requests with them.
//!
//! Such requests have nothing in common but the part, so that no single request is ever seen to crash several engines.
//! At an engine that ends there are many requests, and parts that most requests share are present at every crash. Three
//! things tell the crashing part: no request with it completes that began after a crash, it is present at many crashes in
//! few requests each, and among the parts of which this is about as true it is the one that the fewest requests have. Such
//! a part is *held*: nodes refuse requests with it. Crashes at which a held part was present count against nothing else.
//!
//! If a part is held wrongly, engines go on to crash without it, and the evidence then points to another one; or the
//! crashes have ended anyway, and a request that is tried completes.

mod activity;
mod evidence;
mod ledger;
mod record;
mod selection;

pub use activity::PartActivity;
pub use ledger::{HeldPart, PartChange, PartLedger};
pub use record::{HeldPartEntry, PartCompletion, PartCrash, StoredPartCrash, SuspectPart};
