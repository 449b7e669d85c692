#pragma once

#include "clock.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Yuccagrade
{
/// Numbered log events. The catalogue in docs/EVENTS.md lists each one; CI compares both.
enum class Event {
    ProcessStarted = 100,
    ProcessStopped = 101,
    SettingsRejected = 102,
    DrainStarted = 103,
    DrainFinished = 104,
    ListenFailed = 105,
    SettingsReloaded = 106,
    LeaderContactLost = 107,
    LeaderContactRegained = 108,
    BuildNamed = 109,
    MalformedRequest = 110,
    PeerRejected = 111,
    PeerUnreachable = 112,
    MemoryLimitReached = 113,
    ConnectionLimitReached = 114,
    LeaderElected = 200,
    LeaderLost = 201,
    EntryCommitted = 202,
    SnapshotWritten = 203,
    LogTailTruncated = 204,
    StorageFailed = 205,
    StorageDamaged = 206,
    GroupChanged = 207,
    DiskReplaced = 208,
    LeaderFollowed = 209,
    ManifestAccepted = 300,
    ManifestRefused = 301,
    StateApplied = 302,
    KeyGiven = 303,
    KeyWithdrawn = 304,
    ProofLost = 305,
    ProofRegained = 306,
    ManifestInForce = 307,
    WithdrawalInForce = 308,
    EvacuationOrdered = 309,
    MemberUp = 400,
    MemberDown = 401,
    MemberDraining = 402,
    CoordinatorLeaseGained = 403,
    CoordinatorLeaseLost = 404,
    UpstreamAnnounced = 405,
    UpstreamDraining = 406,
    UpstreamSilent = 407,
    UpstreamLimited = 408,
    UpstreamDrainRestored = 409,
    UpstreamDrainEnded = 410,
    UpstreamCold = 411,
    DomainsEvacuated = 412,
    CallsLeaveDomain = 420,
    QuotaShareChanged = 500,
    TeamOverRate = 501,
    TeamTokensTaken = 502,
    ReportIncomplete = 503,
    RetriesScarce = 504,
    ClaimGroupChanged = 600,
    ClaimRefused = 601,
    ClaimReplicaAbstains = 602,
    ClaimReplicaReady = 603,
    ClaimUnavailable = 604,
    KeyUnknown = 700,
    TeamForbidden = 701,
    RouteUnknown = 702,
    IdempotencyKeyMissing = 703,
    ActionAlreadyClaimed = 704,
    RequestShed = 705,
    RequestRefusedDraining = 706,
    RequestRefusedIsolated = 707,
    DeadlineExceeded = 708,
    UpstreamAnswerBroken = 709,
    UpstreamUnavailable = 710,
    RetryBudgetExhausted = 711,
    ContextInvalid = 712,
    CallServed = 713,
    CallForwarded = 714,
    CallCancelled = 715,
    RequestTooLarge = 716,
    CallRepeated = 717,
    CallRefusedAtUpstream = 718,
    UpstreamFailed = 719,
    RequestMalformed = 720,
    DenialOutdated = 721,
    ResponseUnsigned = 722,
    LargeFrameSent = 730,
    RegionUnavailable = 731,
};

/// Severity of an event.
enum class Severity { Debug, Info, Warning, Error };

/// Static description of an event.
struct EventInfo {
    Event event;
    Severity severity;
    std::string_view name; ///< stable name used in files
    std::string_view text; ///< one sentence for people
};

/// Returns the description of @p event.
const EventInfo &eventInfo(Event event);
/// Returns all events in ascending order of their numbers.
const std::vector<EventInfo> &eventCatalogue();
std::string_view severityName(Severity severity);

/// Time stamp of a hybrid logical clock: wall time in ms and a counter for events of the same ms.
struct HybridTime {
    TimeMs wallMs = 0;
    int counter = 0;
    auto operator<=>(const HybridTime &) const = default;
};

/// Returns @p bytes for a field of an event: those that are not printable ASCII, and the backslash, as \xNN.
std::string printable(std::string_view bytes);

/// "wall.counter" as used in headers and event files.
std::string toText(const HybridTime &time);
/// Parses "wall.counter". Returns false on a malformed text.
bool parseHybridTime(std::string_view text, HybridTime &time);

/// Hybrid logical clock: orders events over processes whose wall clocks differ.
class HybridClock
{
public:
    explicit HybridClock(Clock clock);
    /// Returns the time stamp of a local event or of a message to send.
    HybridTime tick();
    /// Advances past the time stamp of a received message. Stamps more than 60 s ahead of the wall clock are ignored.
    void observe(const HybridTime &remote);

private:
    Clock m_clock;
    HybridTime m_last;
};

using EventField = std::pair<std::string_view, std::string>;

/// Writes events to the log of the process (log4cplus) and, if a file is set, to it as JSON lines.
class EventLog
{
public:
    /// @param process name of the process; @param file event file, empty for none, "-" for JSON lines on standard output
    /// in place of the log of the process. Lines that standard output does not take at once are dropped and counted.
    EventLog(Clock clock, std::string process, const std::string &file, Severity threshold = Severity::Info);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes an event. Events of single requests (from 700) are limited to 50 per second and number; the next one that
    /// is written carries the count of those left out in the field `suppressed`.
    void write(Event event, std::initializer_list<EventField> fields = {});
    /// Writes what the program was built from. Called before any other event of a process.
    void writeBuild();
    /// Returns false if the severity of @p event is below the threshold, so that its fields need not be made.
    bool isWritten(Event event) const;
    HybridClock &hybridClock();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
