//! A member's report.

use std::net::SocketAddr;

use dalestand_dissemination::Report;
use dalestand_routing::staged::{LoadSource, ReportSlice};

use crate::context::Context;
use crate::dissemination::receive::loads::{take_demand, take_work};
use crate::dissemination::receive::news::take_news;

/// Takes a report in. A node that is no relay stays silent, so that the member looks for another.
pub(super) fn take(context: &Context, sender: SocketAddr, report: Report) {
    let now = context.now();
    let dissemination = &context.dissemination;
    if !dissemination.role(now).is_relay {
        return;
    }
    let is_new = dissemination.subscribers.borrow_mut().record_report(
        now,
        report.node,
        sender,
        report.sequence,
    );
    if !is_new {
        return;
    }
    if report.is_probe {
        // The member waits for a table.
        context.work_changed.notify_one();
        return;
    }
    let source = LoadSource::Member(report.node.0);
    take_work(context, source, ReportSlice::WHOLE, 0, &report.work);
    take_demand(context, source, report.demand);
    context.work_changed.notify_one();
    take_news(context, &report.news);
    dissemination
        .exchange_news
        .borrow_mut()
        .push(report.news.clone());
    dissemination.table_news.borrow_mut().push(report.news);
}
