#include "eventlog.h"

#include "buildinfo.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <climits>
#include <fstream>
#include <json/json.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace Yuccagrade
{
namespace
{
// Under overload each refused request would be a line; the log must not become the bottleneck then.
constexpr int maxRequestEventsPerSecond = 50;
constexpr auto firstRequestEvent = Event::KeyUnknown;
constexpr TimeMs msPerSecond = 1'000;

// A peer with a wall clock far ahead must not drag the clocks of all others along.
constexpr TimeMs maxAheadMs = 60'000;

constexpr std::array severityNames{"debug", "info", "warning", "error"};

using enum Severity;

const std::vector<EventInfo> catalogue{
    {Event::ProcessStarted, Info, "process-started", "The process listens and serves."},
    {Event::ProcessStopped, Info, "process-stopped", "The process ended in an orderly way."},
    {Event::SettingsRejected, Error, "settings-rejected", "The settings file has findings."},
    {Event::DrainStarted, Info, "drain-started", "The process takes no new work and finishes what it holds."},
    {Event::DrainFinished, Info, "drain-finished", "All running work has ended."},
    {Event::ListenFailed, Error, "listen-failed", "A listening socket could not be opened."},
    {Event::SettingsReloaded, Info, "settings-reloaded", "The settings file was read again."},
    {Event::LeaderContactLost, Warning, "leader-contact-lost", "The leading control host does not answer."},
    {Event::LeaderContactRegained, Info, "leader-contact-regained", "The leading control host answers again."},
    {Event::BuildNamed, Info, "build-named", "The process begins and names the sources of its program."},
    {Event::MalformedRequest, Warning, "malformed-request", "A request could not be decoded."},
    {Event::PeerRejected, Warning, "peer-rejected", "A peer message failed authentication or was replayed."},
    {Event::PeerUnreachable, Debug, "peer-unreachable", "A peer did not answer."},
    {Event::MemoryLimitReached, Warning, "memory-limit-reached", "The process held too much for its peers and gave up the largest part."},
    {Event::ConnectionLimitReached, Warning, "connection-limit-reached", "A port had too many connections and closed one."},
    {Event::LeaderElected, Info, "leader-elected", "This control host leads the group."},
    {Event::LeaderLost, Info, "leader-lost", "This control host no longer leads the group."},
    {Event::EntryCommitted, Debug, "entry-committed", "A log entry was committed by a quorum."},
    {Event::SnapshotWritten, Info, "snapshot-written", "A snapshot was synced and the log before it dropped."},
    {Event::LogTailTruncated, Warning, "log-tail-truncated", "A torn record at the end of the log was cut off."},
    {Event::StorageFailed, Error, "storage-failed", "A write or sync in the data folder failed."},
    {Event::StorageDamaged, Error, "storage-damaged", "A stored record fails its checksum."},
    {Event::GroupChanged, Info, "group-changed", "The group of control hosts changed."},
    {Event::DiskReplaced, Warning, "disk-replaced", "The data folder is new; this host does not vote until admitted."},
    {Event::LeaderFollowed, Info, "leader-followed", "Another control host leads the group."},
    {Event::ManifestAccepted, Info, "manifest-accepted", "A manifest was committed."},
    {Event::ManifestRefused, Warning, "manifest-refused", "A manifest was refused."},
    {Event::StateApplied, Info, "state-applied", "Configuration up to an index is in force in this process."},
    {Event::KeyGiven, Info, "key-given", "A team key was given."},
    {Event::KeyWithdrawn, Info, "key-withdrawn", "A team key was withdrawn."},
    {Event::ProofLost, Warning, "proof-lost", "The freshness proof ran out; keyed calls are refused."},
    {Event::ProofRegained, Info, "proof-regained", "A valid freshness proof is held again."},
    {Event::ManifestInForce, Info, "manifest-in-force", "Every known process has confirmed the manifest."},
    {Event::WithdrawalInForce, Info, "withdrawal-in-force", "The withdrawn key works nowhere any more."},
    {Event::EvacuationOrdered, Info, "evacuation-ordered", "An order to evacuate a domain or to take it back was applied or refused."},
    {Event::MemberUp, Info, "member-up", "A node joined or returned."},
    {Event::MemberDown, Warning, "member-down", "A node was not heard and is removed."},
    {Event::MemberDraining, Info, "member-draining", "A node takes no new work."},
    {Event::CoordinatorLeaseGained, Info, "coordinator-lease-gained", "This node coordinates its failure domain."},
    {Event::CoordinatorLeaseLost, Warning, "coordinator-lease-lost", "This node no longer coordinates its failure domain."},
    {Event::UpstreamAnnounced, Info, "upstream-announced", "The upstream of this host announced itself."},
    {Event::UpstreamDraining, Info, "upstream-draining", "The upstream of this host drains."},
    {Event::UpstreamSilent, Warning, "upstream-silent", "The upstream of this host stopped announcing itself."},
    {Event::UpstreamLimited, Info, "upstream-limited", "The upstream of this host named another limit of its requests, or none."},
    {Event::UpstreamDrainRestored, Info, "upstream-drain-restored", "An upstream had drained or left before this process started, and is not used."},
    {Event::UpstreamDrainEnded, Info, "upstream-drain-ended", "A newer announcement ended a drain from before the start of this process."},
    {Event::UpstreamCold, Info, "upstream-cold", "The upstream of this host became cold, so that its rate is limited, or warm."},
    {Event::DomainsEvacuated, Info, "domains-evacuated", "This node received another list of evacuated domains."},
    {Event::CallsLeaveDomain, Info, "calls-leave-domain", "Calls for a service go to other domains because of its load in the own one, or no longer."},
    {Event::QuotaShareChanged, Debug, "quota-share-changed", "The shares of this failure domain changed."},
    {Event::TeamOverRate, Info, "team-over-rate", "A request was refused because its team is over its rate."},
    {Event::TeamTokensTaken, Info, "team-tokens-taken", "Tokens of a team over its rate, or without the leader, since the last report."},
    {Event::ReportIncomplete, Info, "report-incomplete", "A report contained changes since one that the leader does not know; the full demand is asked for."},
    {Event::RetriesScarce, Info, "retries-scarce", "The retry budget of a service does not suffice for the calls that it declines, or does again."},
    {Event::ClaimGroupChanged, Info, "claim-group-changed", "A claim group has a new epoch."},
    {Event::ClaimRefused, Info, "claim-refused", "A claim replica refused a claim."},
    {Event::ClaimReplicaAbstains, Info, "claim-replica-abstains", "This claim replica has no complete copy and abstains."},
    {Event::ClaimReplicaReady, Info, "claim-replica-ready", "This claim replica has a complete copy and answers."},
    {Event::ClaimUnavailable, Warning, "claim-unavailable", "No majority of claim replicas answered."},
    {Event::KeyUnknown, Info, "key-unknown", "The key is unknown or withdrawn."},
    {Event::TeamForbidden, Info, "team-forbidden", "The route is not open to the team of the key."},
    {Event::RouteUnknown, Info, "route-unknown", "No route matches the request."},
    {Event::IdempotencyKeyMissing, Info, "idempotency-key-missing", "An action needs an Idempotency-Key header."},
    {Event::ActionAlreadyClaimed, Info, "action-already-claimed", "The action was already claimed by another request."},
    {Event::RequestShed, Info, "request-shed", "The request was shed under load."},
    {Event::RequestRefusedDraining, Info, "request-refused-draining", "The process or upstream drains."},
    {Event::RequestRefusedIsolated, Warning, "request-refused-isolated", "The process has no valid freshness proof."},
    {Event::DeadlineExceeded, Info, "deadline-exceeded", "The time of the request ran out."},
    {Event::UpstreamAnswerBroken, Warning, "upstream-answer-broken", "The upstream's answer was not whole."},
    {Event::UpstreamUnavailable, Warning, "upstream-unavailable", "No upstream of the service can take the request."},
    {Event::RetryBudgetExhausted, Debug, "retry-budget-exhausted", "No attempt is left for the request."},
    {Event::ContextInvalid, Info, "context-invalid", "The call context is unknown or its call has ended."},
    {Event::CallServed, Debug, "call-served", "A request was answered."},
    {Event::CallForwarded, Debug, "call-forwarded", "A request was sent to a node or upstream."},
    {Event::CallCancelled, Debug, "call-cancelled", "The caller left before the answer."},
    {Event::RequestTooLarge, Info, "request-too-large", "The request exceeds a size limit."},
    {Event::CallRepeated, Info, "call-repeated", "A call is offered to another upstream."},
    {Event::CallRefusedAtUpstream, Info, "call-refused-at-upstream", "The node beside the upstream refused a call before any byte was sent."},
    {Event::UpstreamFailed, Info, "upstream-failed", "The upstream answered with a failure, which the caller got."},
    {Event::RequestMalformed, Info, "request-malformed", "A caller's request could not be read."},
    {Event::DenialOutdated, Warning, "denial-outdated", "A configuration that arrived later knows a route or key refused as unknown."},
    {Event::ResponseUnsigned, Warning, "response-unsigned", "An upstream's response had no signature or no request id."},
    {Event::LargeFrameSent, Debug, "large-frame-sent", "A call or reply was sent in pieces to another process."},
    {Event::RegionUnavailable, Warning, "region-unavailable", "No upstream in the allowed regions can take the request."},
};

log4cplus::LogLevel logLevel(Severity severity)
{
    constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(severity)];
}
}

const EventInfo &eventInfo(Event event)
{
    const auto found = std::lower_bound(catalogue.begin(), catalogue.end(), event, [](const EventInfo &info, Event wanted) {
        return info.event < wanted;
    });
    if (found == catalogue.end() || found->event != event) {
        throw std::logic_error("event is missing in the catalogue");
    }
    return *found;
}

const std::vector<EventInfo> &eventCatalogue()
{
    return catalogue;
}

std::string_view severityName(Severity severity)
{
    return severityNames[static_cast<std::size_t>(severity)];
}

std::string printable(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto value = static_cast<unsigned char>(c);
        if (c >= ' ' && c <= '~' && c != '\\') {
            text += c;
        } else {
            text.append("\\x").append(1, digits[value / digits.size()]).append(1, digits[value % digits.size()]);
        }
    }
    return text;
}

std::string toText(const HybridTime &time)
{
    return std::to_string(time.wallMs) + '.' + std::to_string(time.counter);
}

bool parseHybridTime(std::string_view text, HybridTime &time)
{
    const char *end = text.data() + text.size();
    const auto wall = std::from_chars(text.data(), end, time.wallMs);
    if (wall.ec != std::errc() || wall.ptr == end || *wall.ptr != '.') {
        return false;
    }
    const auto counter = std::from_chars(wall.ptr + 1, end, time.counter);
    return counter.ec == std::errc() && counter.ptr == end && time.wallMs >= 0 && time.counter >= 0;
}

HybridClock::HybridClock(Clock clock)
    : m_clock(std::move(clock))
{
}

HybridTime HybridClock::tick()
{
    const TimeMs wall = m_clock.wall();
    m_last = wall > m_last.wallMs ? HybridTime{wall, 0} : HybridTime{m_last.wallMs, m_last.counter + 1};
    return m_last;
}

void HybridClock::observe(const HybridTime &remote)
{
    if (remote > m_last && remote.wallMs <= m_clock.wall() + maxAheadMs) {
        m_last = remote;
    }
}

struct EventLog::Impl {
    explicit Impl(Clock processClock)
        : clock(std::move(processClock))
        , hybridClock(clock)
    {
    }

    /// Events of one number in the present second.
    struct Budget {
        TimeMs second = 0;
        int written = 0;
        int suppressed = 0;
    };
    bool isWithinBudget(Event event, int &suppressed);

    Clock clock;
    HybridClock hybridClock;
    std::string process;
    std::ofstream file;
    /// Set unless lines go to standard output: the library starts threads.
    std::unique_ptr<log4cplus::Initializer> initializer;
    std::unique_ptr<log4cplus::Logger> logger;
    void openLogger();
    Json::StreamWriterBuilder writer;
    Severity threshold = Info;
    std::map<Event, Budget> budgets;
    bool toOutput = false;
    std::size_t droppedLines = 0; ///< not taken by standard output since the last line
    void writeOutput(Json::Value &line);
};

// Returns false if the event is not written. @p suppressed is the number of events left out before this one.
bool EventLog::Impl::isWithinBudget(Event event, int &suppressed)
{
    if (event < firstRequestEvent) {
        return true;
    }
    Budget &budget = budgets[event];
    const TimeMs second = clock.now() / msPerSecond;
    if (second != budget.second) {
        budget.second = second;
        budget.written = 0;
    }
    if (budget.written >= maxRequestEventsPerSecond) {
        ++budget.suppressed;
        return false;
    }
    ++budget.written;
    suppressed = std::exchange(budget.suppressed, 0);
    return true;
}

// A pipe takes up to PIPE_BUF bytes at once or reports that it is full, so a reader that stops never blocks the process.
void EventLog::Impl::writeOutput(Json::Value &line)
{
    if (droppedLines > 0) {
        line["dropped_lines"] = static_cast<Json::UInt64>(droppedLines);
    }
    std::string text = Json::writeString(writer, line) + '\n';
    if (text.size() > PIPE_BUF) {
        text = text.substr(0, PIPE_BUF - 1) + '\n';
    }
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    const bool ready = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (ready && ::write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size())) {
        droppedLines = 0;
    } else {
        ++droppedLines;
    }
}

void EventLog::Impl::openLogger()
{
    initializer = std::make_unique<log4cplus::Initializer>();
    logger = std::make_unique<log4cplus::Logger>(log4cplus::Logger::getInstance("yuccagrade"));
    if (logger->getAllAppenders().empty()) {
        log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
        logger->addAppender(appender);
    }
    logger->setLogLevel(logLevel(threshold));
}

EventLog::EventLog(Clock clock, std::string process, const std::string &file, Severity threshold)
    : m_impl(std::make_unique<Impl>(std::move(clock)))
{
    m_impl->process = std::move(process);
    m_impl->threshold = threshold;
    m_impl->writer["indentation"] = "";
    m_impl->toOutput = file == "-";
    if (!m_impl->toOutput) {
        m_impl->openLogger();
    }
    if (!file.empty() && !m_impl->toOutput) {
        m_impl->file.open(file, std::ios::app);
    }
}

EventLog::~EventLog() = default;

HybridClock &EventLog::hybridClock()
{
    return m_impl->hybridClock;
}

bool EventLog::isWritten(Event event) const
{
    return eventInfo(event).severity >= m_impl->threshold;
}

void EventLog::writeBuild()
{
    const BuildInfo &info = buildInfo();
    write(Event::BuildNamed, {{"version", info.version}, {"sources", info.sources}, {"build", info.build}});
}

void EventLog::write(Event event, std::initializer_list<EventField> fields)
{
    const EventInfo &info = eventInfo(event);
    int suppressed = 0;
    if (info.severity < m_impl->threshold || !m_impl->isWithinBudget(event, suppressed)) {
        return;
    }
    std::string text = "[" + std::to_string(static_cast<int>(event)) + "] " + std::string(info.name);
    Json::Value line(Json::objectValue);
    for (const auto &[name, value] : fields) {
        text += ' ' + std::string(name) + '=' + value;
        line[std::string(name)] = value;
    }
    if (suppressed > 0) {
        text += " suppressed=" + std::to_string(suppressed);
        line["suppressed"] = std::to_string(suppressed);
    }
    line["time"] = toText(m_impl->hybridClock.tick());
    line["process"] = m_impl->process;
    line["event"] = static_cast<int>(event);
    line["name"] = std::string(info.name);
    if (m_impl->toOutput) {
        m_impl->writeOutput(line);
        return;
    }
    m_impl->logger->log(logLevel(info.severity), text);
    if (m_impl->file.is_open()) {
        m_impl->file << Json::writeString(m_impl->writer, line) << '\n' << std::flush;
    }
}
}
