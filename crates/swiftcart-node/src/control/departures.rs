//! Reports the departures of the local backend server, remembers those of other nodes, and recalls
//! its own when the node starts.

use std::sync::Arc;

use slog::info;
use swiftcart_core::{
    Datagram, Departure, DepartureLedger, DepartureMessage, DepartureRecall, DepartureReport,
    Instant, NodeId,
};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::control_loop::Control;
use super::finder::retry_until_ok;
use super::roster::Roster;
use crate::departures::OwnDepartures;
use crate::edge::Directory;
use crate::logging::{Event, unix_ms};
use crate::shared::Shared;

/// Departures as the control loop knows them.
#[derive(Debug)]
pub(super) struct DepartureControl {
    /// Departures that this node has acknowledged.
    pub(super) own: watch::Receiver<OwnDepartures>,
    report: DepartureReport,
    ledger: DepartureLedger,
    /// Recall at the start; `None` once it is complete.
    recall: Option<DepartureRecall>,
    /// Kept so that the writer runs as long as the node.
    writer: Option<DepartureWriter>,
}

/// Background task that writes the departures to the directory until that succeeds.
#[derive(Debug)]
struct DepartureWriter(JoinHandle<()>);

impl DepartureWriter {
    fn start(shared: &Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        let shared = Arc::clone(shared);
        let mut own = shared.departures.own.subscribe();
        Self(tokio::spawn(async move {
            while own.changed().await.is_ok() {
                let latest = own.borrow_and_update().clone();
                let write = || directory.enter(shared.id, latest.departures.clone());
                retry_until_ok(&shared.logger, write).await;
                shared.departures.confirm(latest.number);
            }
        }))
    }
}

impl Drop for DepartureWriter {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl DepartureControl {
    pub(super) fn new(shared: &Arc<Shared>, directory: Option<Arc<dyn Directory>>) -> Self {
        let mut recall = DepartureRecall::default();
        if directory.is_none() {
            recall.on_listed(Vec::new());
        }
        Self {
            own: shared.departures.own.subscribe(),
            report: DepartureReport::default(),
            ledger: DepartureLedger::default(),
            recall: Some(recall),
            writer: directory.map(|directory| DepartureWriter::start(shared, directory)),
        }
    }
}

impl Control {
    /// Reports changed departures of the local backend server to the witnesses of this node.
    pub(super) fn on_own_departures(&mut self) {
        let now = self.now();
        let OwnDepartures { number, departures } = self.departures.own.borrow_and_update().clone();
        let witnesses = &self.roster.witnesses;
        if witnesses.is_empty() && self.departures.writer.is_none() {
            // Nobody else could remember the departures.
            self.shared.departures.confirm(number);
        }
        self.departures.report.start(number, departures, witnesses);
        self.report_departures(now);
    }

    /// Repeats questions and reports that are not answered.
    pub(super) fn exchange_departures(&mut self, now: Instant) {
        self.report_departures(now);
        self.recall_departures(now);
    }

    /// Adds what the directory knows of this node's departures.
    pub(super) fn on_listed_departures(&mut self, departures: &[Departure]) {
        if let Some(recall) = &mut self.departures.recall {
            recall.on_listed(departures.to_vec());
        }
        self.recall_departures(self.now());
    }

    /// Handles a message about departures.
    pub(super) fn on_departures(&mut self, now: Instant, from: NodeId, message: &DepartureMessage) {
        match message {
            DepartureMessage::Report { number, departures } => {
                self.departures.ledger.record(now, from, departures.clone());
                let ack = DepartureMessage::ReportAck { number: *number };
                self.net.send(from, &Datagram::Departures(ack));
            }
            DepartureMessage::ReportAck { number } => {
                if self.departures.report.on_ack(from, *number) {
                    self.shared.departures.confirm(*number);
                }
            }
            DepartureMessage::Ask => {
                let departures = self.departures.ledger.departures(from).to_vec();
                let reply = DepartureMessage::Reply { departures };
                self.net.send(from, &Datagram::Departures(reply));
            }
            DepartureMessage::Reply { departures } => {
                if let Some(recall) = &mut self.departures.recall {
                    recall.on_reply(from, departures.clone());
                }
                self.recall_departures(now);
            }
        }
    }

    fn report_departures(&mut self, now: Instant) {
        if let Some((nodes, report)) = self.departures.report.due(now) {
            for id in nodes {
                self.net.send(id, &Datagram::Departures(report.clone()));
            }
        }
    }

    /// Asks other nodes for the departures that an earlier process acknowledged, and applies them once
    /// no further answer is expected.
    fn recall_departures(&mut self, now: Instant) {
        let first = self.shared.settings.first_start;
        let is_joined = first || self.members_known(now);
        let Some(recall) = self.departures.recall.as_mut().filter(|_| is_joined) else {
            return;
        };
        // The members may have just become known.
        let peers = &Roster::new(&self.membership).floor_peers;
        for id in recall.nodes_to_ask(now, peers) {
            let ask = DepartureMessage::Ask;
            self.net.send(id, &Datagram::Departures(ask));
        }
        if first || recall.is_complete(now, peers) {
            let found = self
                .departures
                .recall
                .take()
                .unwrap_or_default()
                .into_found();
            info!(self.shared.logger, ""; "event" => Event::Recalled, "departures" => found.len(),
                "peers" => peers.len(), "ms" => now.elapsed().as_millis() as u64);
            self.shared.registration().restore(now, unix_ms(), &found);
            self.shared.publish_departures();
            self.shared.departures.set_recalled();
        }
    }
}
