#include "support/signalwait.h"
#include "support/upstream.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Yuccagrade::Test::UpstreamOptions options;
    po::options_description description("Stand-in upstream; SIGTERM ends it");
    auto add = description.add_options();
    add("service", po::value(&options.service)->required());
    add("listen", po::value(&options.listenAddress)->required(), "ip:port");
    add("node", po::value(&options.nodeAddress), "caller-address of the node on the same host");
    add("slots", po::value(&options.slots));
    add("connections", po::value(&options.connections));
    add("service-ms", po::value(&options.serviceMs));
    add("exponential", po::bool_switch(&options.exponential), "exponential instead of fixed service time");
    add("seed", po::value(&options.seed));
    add("execution-log", po::value(&options.executionLog), "file to which each execution is appended");
    add("nested", po::value(&options.nested), "path, or METHOD and path, to call through the node; may be repeated");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        // The signals are blocked before the threads start, which inherit the mask.
        const Yuccagrade::Test::SignalWait signals;
        const Yuccagrade::Test::Upstream upstream(options);
        std::cout << "listening on " << upstream.address() << std::endl;
        signals.wait();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << description;
        return 1;
    }
}
