//! Numbered log events. `docs/EVENTS.md` is their catalogue; a test checks that both agree.

use slog::Level;

/// Defines the events with their numbers, levels and messages.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = ($number:literal, $level:ident, $message:literal);)+) => {
        /// A numbered log event. Numbers are never reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)+
        }

        /// All events.
        pub const EVENTS: &[Event] = &[$(Event::$name,)+];

        impl Event {
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)+ }
            }

            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $message,)+ }
            }
        }
    };
}

events! {
    /// The process is listening.
    NodeStarted = (1001, Info, "node started");
    /// A configuration is in force and the node accepts callers.
    NodeReady = (1002, Info, "node ready");
    /// A planned stop has started.
    StopStarted = (1003, Info, "planned stop begun");
    /// The planned stop has completed.
    StopCompleted = (1004, Info, "planned stop done");
    /// Connections were still open when the time for the planned stop ran out.
    StopAbandonedConnections = (1006, Warning, "planned stop left connections behind");
    /// Log lines were dropped because the output was too slow.
    LogLinesDropped = (1007, Warning, "log lines dropped");
    /// A listener failed.
    ListenFailed = (1005, Error, "listener failed");
    /// A configuration took effect.
    ConfigurationInForce = (1101, Info, "configuration in force");
    /// A configuration in the key-value service is invalid.
    ConfigurationInvalid = (1102, Error, "configuration unusable");
    /// A configuration could not be fetched from the peer that offered it.
    ConfigurationNotFetched = (1103, Warning, "configuration not fetched");
    /// A call to the key-value service failed.
    KeyValueFailed = (1201, Warning, "key-value service failed");
    /// The key-value service was restored from a backup.
    KeyValueRestored = (1205, Warning, "key-value service restored");
    /// A key that was missing from the restored backup was written again.
    KeyRewritten = (1206, Info, "key written again");
    /// Keys of the key-value service are being watched again after a failure.
    KeyValueRecovered = (1203, Info, "key-value service regained");
    /// The node's own entry could not be written to the key-value service.
    RegistrationFailed = (1204, Warning, "registration failed");
    /// The machine list could not be read.
    MachineListFailed = (1202, Warning, "machine list failed");
    /// A group's lease was acquired.
    LeaseAcquired = (1301, Info, "lease acquired");
    /// A group's lease was lost.
    LeaseLost = (1302, Warning, "lease lost");
    /// A group's lease was released.
    LeaseReleased = (1303, Info, "lease released");
    /// A role change of an engine was decided.
    RoleDecided = (1315, Info, "role decided");
    /// An order was sent to an engine.
    OrderSent = (1311, Info, "order given");
    /// An engine refused an order.
    OrderRefused = (1312, Warning, "order refused");
    /// An engine did not answer its controller.
    EngineUnresponsive = (1313, Warning, "engine did not answer");
    /// The drain marks of a newly acquired group could not be read.
    DrainMarksUnreadable = (1314, Warning, "drain marks unread");
    /// A cluster member is up.
    MemberUp = (1401, Info, "member up");
    /// A cluster member is down.
    MemberDown = (1402, Warning, "member down");
    /// A datagram could not be decoded.
    DatagramUnreadable = (1403, Warning, "datagram unreadable");
    /// The node's role in the dissemination of fleet-wide state changed.
    DisseminationRoleChanged = (1404, Info, "spread role taken");
    /// The node receives fleet-wide state from a relay that it was not subscribed to before.
    RelaySubscribed = (1405, Info, "relay followed");
    /// A node's entry in the key-value service could not be parsed.
    NodeUnreadable = (1406, Warning, "node entry unreadable");
    /// A request was answered completely.
    RequestComplete = (1501, Debug, "request complete");
    /// A request was refused or failed.
    RequestFailed = (1502, Info, "request failed");
    /// A frame of another attempt was discarded.
    ForeignFrame = (1503, Warning, "frame of another attempt discarded");
    /// A call to an engine ended without a complete answer.
    RunUnfinished = (1504, Info, "run unfinished");
    /// A stream that an engine broke off goes on at another engine, within the same answer.
    StreamResumed = (1505, Info, "stream resumed at another engine");
    /// A request resumes a stream of an earlier attempt, or is refused because its version is not known or not served.
    StreamResumptionDecided = (1506, Info, "stream resumption decided");
    /// The stored software versions of a pool could not be parsed.
    VersionsUnreadable = (1507, Warning, "stored versions unreadable");
    /// An engine was silent within a stream: it went on, another engine took over, or none did so far.
    StreamSilent = (1508, Info, "stream was silent");
    /// The connection of a caller ended before its answer was complete.
    CallerLeft = (1509, Info, "caller left");
    /// A node stored the software versions that may have begun streams of a pool.
    VersionsStored = (1510, Info, "software versions stored");
    /// Many engine entries were added, changed or removed at once.
    EnginesListed = (1608, Info, "engines listed");
    /// An engine's entry was added or changed.
    EngineListed = (1601, Info, "engine listed");
    /// An engine's entry was removed.
    EngineRemoved = (1602, Info, "engine gone");
    /// An engine's entry could not be parsed.
    EngineUnreadable = (1603, Warning, "engine entry unreadable");
    /// The process was paused for longer than expected.
    ProcessPauseDetected = (1604, Warning, "process stood still");
    /// An engine reported which prompt parts it has cached.
    PartsRecovered = (1607, Info, "kept parts recovered");
    /// An engine's run ended without an announcement that it was leaving.
    EngineEnded = (1611, Info, "engine ended");
    /// A request was unfinished on an engine when the engine's run ended.
    CrashAttributed = (1612, Info, "crash attributed");
    /// A request was stopped because engines ended while running it.
    RequestStopped = (1613, Warning, "request stopped");
    /// A stopped request was released and may run again.
    RequestReleased = (1614, Info, "request released");
    /// A stopped request is given one trial run.
    StoppedRequestTried = (1616, Info, "stopped request tried");
    /// Requests with a prompt part are refused because engines ended while running them.
    PartHeld = (1617, Warning, "prompt part held");
    /// Requests with a held prompt part may run again.
    PartReleased = (1618, Info, "prompt part released");
    /// A request with a held prompt part is given one trial run.
    HeldPartTried = (1619, Info, "held prompt part tried");
    /// An engine announced in a response, to this node or another, that it is draining.
    EngineDraining = (1621, Info, "engine drains");
    /// An engine restarted under the same name.
    EngineRestarted = (1623, Info, "engine started again");
    /// An engine asked this node to send no requests for some time.
    EngineBackoff = (1622, Info, "engine asks for backoff");
    /// The request rate limit that an engine announces was set, changed or removed.
    EngineLimit = (1624, Info, "engine names a limit");
    /// An engine or the key-value service sent an unknown header.
    HeaderUnknown = (1625, Warning, "unknown header");
    /// Many engine entries expired at once or are missing after an outage; they are removed only after a
    /// grace period.
    EntryRemovalsHeld = (1626, Info, "removal of engine entries held back");
    /// An entry says that an engine accepts work which had said that it drains.
    EntryContradictsDrain = (1627, Warning, "entry contradicts a drain");
    /// Requests to a relay for the entries that differ brought no progress, so another relay was asked.
    EntriesRequestedElsewhere = (1628, Info, "entries requested from another relay");
    /// The version in an engine's entry may not be that of what listens at its address.
    EngineVersionWithheld = (1629, Info, "engine version withheld");
    /// A stopped request's entry in the key-value service could not be parsed.
    StoppedRequestUnreadable = (1615, Warning, "stopped request unreadable");
    /// The usage of a time window was reported.
    UsageReported = (1701, Info, "usage reported");
    /// A report of the usage of a time window failed and will be retried.
    UsageReportFailed = (1702, Warning, "usage not reported yet");
    /// The platform refused a duty call.
    DutyRefused = (1703, Warning, "duty call refused");
    /// The platform was asked to run a certain number of engines in a zone.
    EngineCountOrdered = (1711, Info, "engine count ordered");
    /// The request for a number of engines in a zone failed and will be retried.
    EngineCountFailed = (1712, Warning, "engine count not ordered yet");
    /// Spot engines of one or more zones were reclaimed.
    SpotEnginesLost = (1713, Warning, "spot engines taken away");
    /// This node reaches no engine directly, while other nodes reach them.
    EnginesUnreachable = (1641, Warning, "cut off from engines");
    /// This node reaches engines directly again.
    EnginesReachable = (1642, Info, "engines reached again");
    /// A pool became short of slots.
    PoolShortageStarted = (1631, Info, "pool short");
    /// A pool is no longer short of slots.
    PoolShortageEnded = (1632, Info, "pool not short");
    /// The settings file was reloaded.
    SettingsReloaded = (1605, Info, "settings read again");
    /// The changed settings file is invalid.
    SettingsInvalid = (1606, Error, "settings unusable");
}
