#include "quotacluster.h"

#include <algorithm>
#include <cmath>

namespace Yuccagrade
{
namespace
{
const std::string team = "t";
constexpr TimeMs waitMs = 20;
}

SpendingCheck::SpendingCheck(double rate, double burst, TimeMs now)
    : m_rate(rate)
    , m_burst(burst)
    , m_at(now)
{
}

void SpendingCheck::spend(double tokens, TimeMs now)
{
    allow(m_rate, m_burst, now);
    m_level += tokens;
    excess = std::max(excess, m_level - m_burst);
}

void SpendingCheck::allow(double rate, double burst, TimeMs now)
{
    m_level = std::max(0.0, m_level - m_rate * static_cast<double>(now - m_at) / 1'000);
    m_at = now;
    m_rate = rate;
    m_burst = std::max(m_burst, burst); // a window may start while the highest burst was allowed
}

QuotaCluster::QuotaCluster(const Options &options, std::uint64_t seed)
    : random(seed)
    , isolated(options.domains)
    , m_options(options)
    , m_coordinators(options.domains)
    , m_limits{{options.rate, options.burst}}
{
    m_nodes.resize(static_cast<std::size_t>(options.domains) * options.nodes);
    m_checks.emplace_back(options.rate, options.burst, 0);
    changeLeader();
    for (int domain = 0; domain < options.domains; ++domain) {
        restartCoordinator(domain, true);
        for (int i = 0; i < options.nodes; ++i) {
            const std::size_t index = static_cast<std::size_t>(domain) * options.nodes + i;
            m_nodes[index].domain = domain;
            m_nodes[index].clock = randomClock();
            restartNode(index);
        }
    }
}

SimClock QuotaCluster::randomClock()
{
    return {1 + m_options.drift * (2 * random.fraction() - 1), static_cast<TimeMs>(random.below(10'000)), 0};
}

void QuotaCluster::restartCoordinator(int domain, bool otherHost)
{
    Coordinator &coordinator = m_coordinators[domain];
    ++m_incarnations;
    if (otherHost) {
        coordinator.id = "c" + std::to_string(m_incarnations);
        coordinator.clock = randomClock();
    }
    const TimeMs time = coordinator.clock.local(now);
    coordinator.quota = std::make_unique<QuotaCoordinator>(coordinator.id + ';' + std::to_string(m_incarnations), time, m_options.margin);
    coordinator.applied = m_limits.size();
    coordinator.quota->setLimits(team, coordinator.applied, m_limits.back(), time);
}

void QuotaCluster::restartNode(std::size_t node)
{
    m_nodes[node].client = std::make_unique<QuotaClient>("n" + std::to_string(node), ++m_incarnations);
    m_nodes[node].waiting.clear();
    m_nodes[node].hoardedTokens = {};
}

void QuotaCluster::changeLeader()
{
    m_electedAt = now;
    m_ledger = std::make_unique<ShareLedger>(now);
    std::vector<std::string> domains;
    domains.reserve(m_options.domains);
    for (int i = 0; i < m_options.domains; ++i) {
        domains.push_back("d" + std::to_string(i));
    }
    m_ledger->setDomains(domains);
    m_ledger->setFloors(m_floors);
}

void QuotaCluster::changeLimits(double rate, double burst)
{
    m_limits.push_back({rate, burst});
    double highestRate = 0;
    double highestBurst = 0;
    for (std::size_t i = m_confirmed == 0 ? 0 : m_confirmed - 1; i < m_limits.size(); ++i) {
        highestRate = std::max(highestRate, m_limits[i].rate);
        highestBurst = std::max(highestBurst, m_limits[i].burst);
    }
    for (SpendingCheck &check : m_checks) {
        check.allow(highestRate, highestBurst, now);
    }
}

void QuotaCluster::freezeRandomProcess()
{
    const std::size_t index = random.below(m_nodes.size() + m_coordinators.size());
    SimClock &clock = index < m_nodes.size() ? m_nodes[index].clock : m_coordinators[index - m_nodes.size()].clock;
    clock.frozenUntil = now + static_cast<TimeMs>(random.below(6'000));
}

double QuotaCluster::worstExcess() const
{
    double worst = 0;
    for (const SpendingCheck &check : m_checks) {
        worst = std::max(worst, check.excess);
    }
    return worst;
}

void QuotaCluster::run(TimeMs duration, const std::function<double(int)> &load)
{
    for (const TimeMs end = now + duration; now < end; now += m_options.step) {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        for (int i = 0; i < m_options.domains; ++i) {
            sync(i);
            borrow(i);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            tickNode(i, load(m_nodes[i].domain) / m_options.nodes);
        }
        if (now % 10 == 0) {
            check();
        }
    }
}

void QuotaCluster::transmit(int from, int to, const std::function<void()> &arrive)
{
    const int copies = random.fraction() < m_options.loss ? 0 : random.fraction() < m_options.duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const TimeMs delay = 1 + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(m_options.maxDelay)));
        m_events.emplace(now + delay, [=, this] {
            if (from == to || (!(from >= 0 && isolated[from]) && !(to >= 0 && isolated[to]))) {
                arrive();
            }
        });
    }
}

std::optional<CoordinatorLeaseGrant> QuotaCluster::lease(int domain, const std::string &id)
{
    auto &[holder, end] = m_leases[domain];
    const bool settled = now >= m_electedAt + 4'500;
    if (holder != id && now < (settled ? end : m_electedAt + 4'500)) {
        return std::nullopt;
    }
    holder = id;
    end = now + 4'300;
    return CoordinatorLeaseGrant{4'000, !settled};
}

void QuotaCluster::sync(int domain)
{
    Coordinator &coordinator = m_coordinators[domain];
    if (now < coordinator.syncAt || now < coordinator.clock.frozenUntil) {
        return;
    }
    coordinator.syncAt = now + 500;
    const TimeMs sentAt = coordinator.clock.local(now);
    SyncRequest request;
    request.self.id = coordinator.id;
    request.self.domain = "d" + std::to_string(domain);
    request.share = coordinator.quota->share().report(sentAt);
    const QuotaCoordinator *identity = coordinator.quota.get();
    const std::uint64_t applied = coordinator.applied;
    transmit(domain, -1, [=, this] {
        auto grant = m_ledger->grant(request, lease(domain, request.self.id), now, now);
        for (const auto &[name, record] : m_ledger->proposals(now)) {
            m_floors[name] = record;
        }
        m_ledger->setFloors(m_floors);
        const std::uint64_t known = m_limits.size();
        transmit(-1, domain, [=, this] {
            Coordinator &receiver = m_coordinators[domain];
            if (receiver.quota.get() != identity || now < receiver.clock.frozenUntil) {
                return;
            }
            const TimeMs time = receiver.clock.local(now);
            while (receiver.applied < std::max(applied, known)) {
                receiver.quota->setLimits(team, receiver.applied + 1, m_limits[receiver.applied], time);
                ++receiver.applied;
            }
            if (grant) {
                ShareMessage share = *grant;
                share.confirmedIndex = m_confirmed;
                receiver.quota->takeShare(share, sentAt, time);
            }
        });
    });
}

void QuotaCluster::borrow(int domain)
{
    Coordinator &coordinator = m_coordinators[domain];
    const bool due = now >= coordinator.askAt || (coordinator.quota->hasUnmetDemand() && now >= coordinator.askAt - 17);
    if (!due || now < coordinator.clock.frozenUntil) {
        return;
    }
    coordinator.askAt = now + 20;
    std::vector<std::string> peers;
    for (int i = 0; i < m_options.domains; ++i) {
        if (i != domain) {
            peers.push_back(std::to_string(i));
        }
    }
    const TimeMs sentAt = coordinator.clock.local(now);
    const QuotaCoordinator *identity = coordinator.quota.get();
    for (const auto &[peer, request] : coordinator.quota->borrowRequests(peers, sentAt)) {
        transmit(domain, std::stoi(peer), [=, this, name = peer, message = request] {
            Coordinator &lender = m_coordinators[std::stoi(name)];
            if (now < lender.clock.frozenUntil) {
                return;
            }
            const BorrowResponse response = lender.quota->answer(message, lender.clock.local(now));
            transmit(std::stoi(name), domain, [=, this] {
                Coordinator &receiver = m_coordinators[domain];
                if (receiver.quota.get() == identity && now >= receiver.clock.frozenUntil) {
                    receiver.quota->answered(name, response, sentAt, receiver.clock.local(now));
                }
            });
        });
    }
}

void QuotaCluster::tickNode(std::size_t index, double load)
{
    Node &node = m_nodes[index];
    if (now < node.clock.frozenUntil) {
        return;
    }
    if (m_options.hoard) {
        tickHoarder(index);
        return;
    }
    const TimeMs time = node.clock.local(now);
    for (double at = -std::log(1 - random.fraction()); at < load * static_cast<double>(m_options.step) / 1'000; at -= std::log(1 - random.fraction())) {
        if (node.client->arrive(team, 1, time)) {
            serve();
        } else {
            node.waiting.push_back(now);
        }
    }
    while (!node.waiting.empty()) {
        const bool paid = node.client->retry(team, 1, time);
        if (!paid && now - node.waiting.front() < waitMs) {
            break;
        }
        node.client->stopWaiting(team, 1);
        node.waiting.pop_front();
        if (paid) {
            serve();
        } else {
            ++refused;
        }
    }
    const auto request = node.client->poll(time);
    if (!request) {
        return;
    }
    const QuotaClient *identity = node.client.get();
    const int domain = node.domain;
    transmit(domain, domain, [=, this, message = *request] {
        Coordinator &coordinator = m_coordinators[domain];
        if (now < coordinator.clock.frozenUntil) {
            return;
        }
        const BorrowResponse response = coordinator.quota->answer(message, coordinator.clock.local(now));
        transmit(domain, domain, [=, this] {
            if (m_nodes[index].client.get() == identity) {
                m_nodes[index].client->answered(response, time);
            }
        });
    });
}

void QuotaCluster::tickHoarder(std::size_t index)
{
    Node &node = m_nodes[index];
    const TimeMs time = node.clock.local(now);
    if (now > m_nextSpendAt + 100) {
        m_nextSpendAt = now + static_cast<TimeMs>(random.below(1'500));
    }
    while (now >= m_nextSpendAt && node.hoardedTokens.spend(0.25, time)) {
        serve();
    }
    if (now < node.askAt) {
        return;
    }
    node.askAt = now + 40;
    BorrowItem item{team, 1'000, 0, 1'000, 1'000, node.hoardedTokens.reports(node.lender, time)};
    const BorrowRequest request{"n" + std::to_string(index), 1, node.lender, false, {item}};
    const int domain = node.domain;
    const QuotaClient *identity = node.client.get();
    transmit(domain, domain, [=, this] {
        Coordinator &coordinator = m_coordinators[domain];
        if (now < coordinator.clock.frozenUntil) {
            return;
        }
        const BorrowResponse response = coordinator.quota->answer(request, coordinator.clock.local(now));
        transmit(domain, domain, [=, this] {
            Node &receiver = m_nodes[index];
            for (const Loan &loan : response.loans) {
                if (receiver.client.get() == identity) {
                    receiver.hoardedTokens.accept(response.lender, loan, time);
                }
            }
            receiver.lender = response.lender;
        });
    });
}

void QuotaCluster::serve()
{
    ++served;
    for (SpendingCheck &check : m_checks) {
        check.spend(m_options.hoard ? 0.25 : 1, now);
    }
}

void QuotaCluster::check()
{
    double sum = 0;
    std::uint64_t lowest = m_limits.size();
    for (const Coordinator &coordinator : m_coordinators) {
        sum += coordinator.quota->share().fraction(coordinator.clock.local(now));
        lowest = std::min(lowest, coordinator.applied);
    }
    highestFractionSum = std::max(highestFractionSum, sum);
    if (lowest > m_confirmed) {
        m_confirmed = lowest;
        if (m_confirmed == m_limits.size()) {
            const TokenLimits &limits = m_limits.back();
            for (SpendingCheck &check : m_checks) {
                check.allow(limits.rate, limits.burst, now);
            }
            m_nextCheckAt = now + 1'300;
        }
    }
    // Loans made before the change may be spent until they expire. After that, the new limits alone bound every window.
    if (m_nextCheckAt > 0 && now >= m_nextCheckAt && m_confirmed == m_limits.size()) {
        m_checks.emplace_back(m_limits.back().rate, m_limits.back().burst, now);
        m_nextCheckAt = 0;
    }
}
}
