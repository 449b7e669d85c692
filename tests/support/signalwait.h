#pragma once

#include <csignal>

namespace Yuccagrade::Test
{
/// Blocks SIGTERM and SIGINT and lets a program wait for them.
class SignalWait
{
public:
    SignalWait()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }
    /// Returns when one of the signals has arrived.
    void wait() const
    {
        int signal = 0;
        sigwait(&m_signals, &signal);
    }

private:
    sigset_t m_signals;
};
}
