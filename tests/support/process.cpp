#include "support/process.h"
#include "support/wait.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <system_error>

namespace Yuccagrade::Test
{
Process::Process(const std::vector<std::string> &arguments, const std::string &outputFile, const std::string &errorFile)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (errorFile.empty()) {
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    const int error = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "start of " + arguments[0]);
    }
}

Process::~Process()
{
    kill();
}

bool Process::running()
{
    return !exitCode();
}

void Process::send(int signal)
{
    // A reaped pid may belong to another process.
    if (running()) {
        ::kill(m_pid, signal);
    }
}

void Process::kill()
{
    send(SIGKILL);
    waitForExit(10000);
}

void Process::terminate()
{
    send(SIGTERM);
}

void Process::freeze()
{
    send(SIGSTOP);
}

void Process::resume()
{
    send(SIGCONT);
}

std::optional<int> Process::exitCode()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return m_exitCode;
}

bool Process::waitForExit(double boundMs)
{
    return waitFor(
        [this] {
            return !running();
        },
        boundMs);
}

double Process::cpuSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(file, text);
    const auto nameEnd = text.rfind(')');
    if (m_exitCode || nameEnd == std::string::npos) {
        return 0;
    }
    // Behind the program name, user and system time are the 12th and 13th field (proc(5), fields 14 and 15).
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long Process::residentKiB() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return m_exitCode ? 0 : resident * (sysconf(_SC_PAGESIZE) / 1024);
}
}
