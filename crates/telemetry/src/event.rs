//! The events. `docs/EVENTS.md` is their catalogue; a test holds the two against each other.

use slog::Level;

/// Defines the events: number, level and message of each.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = ($number:literal, $level:ident, $message:literal);)+) => {
        /// A numbered event. Numbers are never used again for another event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)+
        }

        /// Every event.
        pub const EVENTS: &[Event] = &[$(Event::$name,)+];

        impl Event {
            /// Its number.
            pub fn number(self) -> u32 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Its level.
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// Its message.
            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $message,)+ }
            }
        }
    };
}

events! {
    /// The process listens.
    NodeStarted = (1001, Info, "node started");
    /// A configuration is in force and callers are served.
    NodeReady = (1002, Info, "node ready");
    /// A planned stop has begun.
    StopStarted = (1003, Info, "planned stop begun");
    /// The planned stop is over.
    StopCompleted = (1004, Info, "planned stop done");
    /// Callers did not take the last bytes of their answers in time.
    StopAbandonedConnections = (1006, Warning, "planned stop left connections behind");
    /// Lines of the log were dropped because the output was slow.
    LogLinesDropped = (1007, Warning, "log lines dropped");
    /// A listener failed.
    ListenFailed = (1005, Error, "listener failed");
    /// A configuration came into force.
    ConfigurationInForce = (1101, Info, "configuration in force");
    /// A configuration in the key-value service could not be used.
    ConfigurationInvalid = (1102, Error, "configuration unusable");
    /// A configuration could not be fetched from a peer that offered it.
    ConfigurationNotFetched = (1103, Warning, "configuration not fetched");
    /// The key-value service failed.
    KeyValueFailed = (1201, Warning, "key-value service failed");
    /// The key-value service was restored from an older copy.
    KeyValueRestored = (1205, Warning, "key-value service restored");
    /// A key that the older copy lacked was written again.
    KeyRewritten = (1206, Info, "key written again");
    /// Keys of the key-value service are followed again.
    KeyValueRecovered = (1203, Info, "key-value service regained");
    /// The node's own entry could not be written.
    RegistrationFailed = (1204, Warning, "registration failed");
    /// The machine list failed.
    MachineListFailed = (1202, Warning, "machine list failed");
    /// A group's lease was acquired.
    LeaseAcquired = (1301, Info, "lease acquired");
    /// A group's lease was lost.
    LeaseLost = (1302, Warning, "lease lost");
    /// A group's lease was given up.
    LeaseReleased = (1303, Info, "lease released");
    /// A change of an engine's role is due.
    RoleDecided = (1315, Info, "role decided");
    /// An order was given to an engine.
    OrderSent = (1311, Info, "order given");
    /// An engine refused an order.
    OrderRefused = (1312, Warning, "order refused");
    /// An engine did not answer its controller.
    EngineUnresponsive = (1313, Warning, "engine did not answer");
    /// The drain marks of a group that was taken over could not be read.
    DrainMarksUnreadable = (1314, Warning, "drain marks unread");
    /// A node came up.
    MemberUp = (1401, Info, "member up");
    /// A node went down.
    MemberDown = (1402, Warning, "member down");
    /// A datagram could not be read.
    DatagramUnreadable = (1403, Warning, "datagram unreadable");
    /// A node took or gave up a part in passing fleet-wide state on.
    DisseminationRoleChanged = (1404, Info, "spread role taken");
    /// A node listens to a relay that it did not listen to before.
    RelaySubscribed = (1405, Info, "relay followed");
    /// A node's entry in the key-value service could not be read.
    NodeUnreadable = (1406, Warning, "node entry unreadable");
    /// A request was answered in whole.
    RequestComplete = (1501, Debug, "request complete");
    /// A request was refused or failed.
    RequestFailed = (1502, Info, "request failed");
    /// A frame of another attempt was discarded.
    ForeignFrame = (1503, Warning, "frame of another attempt discarded");
    /// An engine's call ended without a whole answer.
    RunUnfinished = (1504, Info, "run unfinished");
    /// Many engines' entries appeared, changed or went at once.
    EnginesListed = (1608, Info, "engines listed");
    /// An engine's own entry appeared or changed.
    EngineListed = (1601, Info, "engine listed");
    /// An engine's own entry went.
    EngineRemoved = (1602, Info, "engine gone");
    /// An engine's entry could not be read.
    EngineUnreadable = (1603, Warning, "engine entry unreadable");
    /// The process stood still.
    ProcessPauseDetected = (1604, Warning, "process stood still");
    /// An engine told which parts of prompts it keeps.
    PartsRecovered = (1607, Info, "kept parts recovered");
    /// An engine's run has ended without having said that it leaves.
    EngineEnded = (1611, Info, "engine ended");
    /// A request was unfinished at an engine when that ended.
    CrashAttributed = (1612, Info, "crash attributed");
    /// A request is stopped: engines ended under it.
    RequestStopped = (1613, Warning, "request stopped");
    /// A request may run again.
    RequestReleased = (1614, Info, "request released");
    /// A stopped request runs once.
    StoppedRequestTried = (1616, Info, "stopped request tried");
    /// An engine said in an answer, to this node or to another, that it drains.
    EngineDraining = (1621, Info, "engine drains");
    /// An engine has started again under the name that it had.
    EngineRestarted = (1623, Info, "engine started again");
    /// An engine asked this node for a time without calls.
    EngineBackoff = (1622, Info, "engine asks for backoff");
    /// An engine named a limit of its requests, another one, or none any more.
    EngineLimit = (1624, Info, "engine names a limit");
    /// An engine or the key-value service sends a header that nothing here knows.
    HeaderUnknown = (1625, Warning, "unknown header");
    /// What the key-value service keeps of a stopped request could not be read.
    StoppedRequestUnreadable = (1615, Warning, "stopped request unreadable");
    /// The usage of a window was reported.
    UsageReported = (1701, Info, "usage reported");
    /// The usage of a window could not be reported yet.
    UsageReportFailed = (1702, Warning, "usage not reported yet");
    /// The platform refused a call for a duty.
    DutyRefused = (1703, Warning, "duty call refused");
    /// The number of engines of a zone was ordered.
    EngineCountOrdered = (1711, Info, "engine count ordered");
    /// The number of engines of a zone could not be ordered yet.
    EngineCountFailed = (1712, Warning, "engine count not ordered yet");
    /// Spot engines of one or more zones were taken away.
    SpotEnginesLost = (1713, Warning, "spot engines taken away");
    /// A pool has become short of places.
    PoolShortageStarted = (1631, Info, "pool short");
    /// A pool is no longer short of places.
    PoolShortageEnded = (1632, Info, "pool not short");
    /// The settings file was read again.
    SettingsReloaded = (1605, Info, "settings read again");
    /// The settings file changed and cannot be used.
    SettingsInvalid = (1606, Error, "settings unusable");
}
