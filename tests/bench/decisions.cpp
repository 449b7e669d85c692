#include "base/clock.h"
#include "claims/actionhash.h"
#include "claims/claimcoordinator.h"
#include "claims/claimreplica.h"
#include "policy/admission.h"
#include "policy/balancer.h"

#include <xxhash.h>

#include <cstdio>
#include <memory>

using namespace Yuccagrade;

namespace
{
constexpr std::uint64_t seed = 20261204;
constexpr int decisions = 200'000;

/// Hash over all decisions of one part.
class Signature
{
public:
    Signature()
        : m_state(XXH3_createState())
    {
        XXH3_64bits_reset(m_state.get());
    }
    void add(std::uint64_t decision)
    {
        XXH3_64bits_update(m_state.get(), &decision, sizeof decision);
    }
    std::uint64_t value() const
    {
        return XXH3_64bits_digest(m_state.get());
    }

private:
    struct Free {
        void operator()(XXH3_state_t *state) const
        {
            XXH3_freeState(state);
        }
    };
    std::unique_ptr<XXH3_state_t, Free> m_state;
};

void add(Signature &signature, const AdmissionActions &actions, int &running)
{
    for (const AdmissionAction &action : actions) {
        running += action.start ? 1 : 0;
        signature.add(action.id * 8 + static_cast<std::uint64_t>(action.reason) * 2 + (action.start ? 1 : 0));
    }
}

// Offers at twice the capacity, with eight teams and all priorities.
void admission(Signature &signature)
{
    Random random(seed);
    Admission subject;
    subject.announce(40, 330);
    int running = 0;
    for (int i = 0; i < decisions; ++i) {
        const double now = i * 0.025;
        QueuedRequest request{static_cast<std::uint64_t>(i), static_cast<Priority>(random.below(priorityCount)), 0, {}, now + 100, now};
        request.depth = static_cast<int>(random.below(8)) - 4;
        request.team = std::string(1, static_cast<char>('a' + random.below(8)));
        add(signature, subject.offer(std::move(request), now), running);
        if (i % 2 == 0 && running > 0) {
            --running;
            add(signature, subject.finished(CallResult::Ok, 2 + random.fraction(), now), running);
        }
        if (i % 200 == 0) {
            add(signature, subject.tick(now), running);
        }
    }
}

void queue(Signature &signature)
{
    Random random(seed);
    FairQueue subject({50, 400});
    for (int i = 0; i < decisions; ++i) {
        const double now = i * 0.05;
        const std::string team(1, static_cast<char>('a' + random.below(8)));
        const auto priority = static_cast<Priority>(random.below(priorityCount));
        const auto evicted = subject.push({static_cast<std::uint64_t>(i), priority, 0, team, now + 100, now}, now);
        signature.add(evicted ? evicted->id : 0);
        if (i % 3 != 0) {
            const auto next = subject.pop(now);
            signature.add(next ? next->id : 0);
        }
        if (i % 100 == 0) {
            signature.add(subject.expire(now).size());
        }
    }
}

void balancer(Signature &signature)
{
    Random random(seed);
    Balancer subject("x");
    std::vector<UpstreamView> view;
    for (int i = 0; i < 15; ++i) {
        view.push_back({"u" + std::to_string(i), i % 3 == 0 ? "x" : "y", 1, 40});
    }
    subject.setUpstreams(view);
    for (int i = 0; i < decisions; ++i) {
        const auto id = subject.pick(i / 20, random);
        signature.add(std::stoul(id.value_or("u99").substr(1)));
        const std::string other = "u" + std::to_string(random.below(15));
        subject.started(*id);
        subject.finished(other);
        subject.report(other, {i, static_cast<int>(random.below(20)), static_cast<int>(random.below(40)), 40}, i / 20);
    }
}

void claims(Signature &signature)
{
    Random random(seed);
    std::vector<ClaimReplica> replicas;
    replicas.reserve(3);
    for (int i = 0; i < 3; ++i) {
        replicas.emplace_back(ReplicaOptions{0, 1, ReplicaStart::FirstEpoch, 0, 10'000}, 0);
    }
    for (int i = 0; i < decisions; ++i) {
        const TimeMs now = i / 10;
        const Id128 action = actionHash("team", "route", std::to_string(random.below(decisions / 2)));
        ClaimCoordinator claimer({0, 1, action, claimToken(random)}, now, 250);
        ClaimAction last = ClaimAction::None;
        for (int r = 0; r < 3 && last == ClaimAction::None; ++r) {
            last = claimer.onAnswer(r, replicas[static_cast<std::size_t>(r)].claim(claimer.request(), now));
        }
        signature.add(static_cast<std::uint64_t>(claimer.state()));
        for (ClaimReplica &replica : replicas) {
            if (last == ClaimAction::Release) {
                replica.release(claimer.request(), now);
            }
            if (i % 1000 == 0) {
                replica.tick(now, random);
            }
        }
    }
    signature.add(replicas[0].claimCount());
}
}

int main()
{
    const Clock clock = Clock::system();
    const struct {
        const char *name;
        void (*run)(Signature &);
    } parts[] = {{"admission", admission}, {"queue", queue}, {"balancer", balancer}, {"claims", claims}};
    Signature all;
    for (const auto &part : parts) {
        Signature signature;
        const double start = clock.preciseMs();
        part.run(signature);
        const double ns = (clock.preciseMs() - start) * 1e6 / decisions;
        all.add(signature.value());
        std::printf("%-10s %016llx %8.0f ns per decision\n", part.name, static_cast<unsigned long long>(signature.value()), ns);
    }
    std::printf("%-10s %016llx\n", "signature", static_cast<unsigned long long>(all.value()));
    return 0;
}
