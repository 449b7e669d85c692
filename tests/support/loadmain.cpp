#include "support/load.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Yuccagrade::Test::LoadOptions options;
    Yuccagrade::Test::LoadStream stream{"load", {}, {}, "/"};
    po::options_description description("Load generator for one team and route; prints the result as JSON");
    auto add = description.add_options();
    add("address", po::value(&stream.addresses)->required(), "ip:port to call; may be repeated");
    add("path", po::value(&stream.path));
    add("team", po::value(&stream.team));
    add("key", po::value(&stream.key));
    add("rate", po::value(&stream.ratePerS), "open loop: requests per s");
    add("clients", po::value(&stream.clients), "closed loop: number of callers");
    add("timeout-ms", po::value(&stream.timeoutMs));
    add("action", po::bool_switch(&stream.action), "send an Idempotency-Key");
    add("body-bytes", po::value(&stream.bodyBytes));
    add("attempts", po::value(&stream.attempts), "retry hard: attempts per request");
    add("duration-ms", po::value(&options.durationMs));
    add("seed", po::value(&options.seed));
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        options.streams.push_back(stream);
        std::cout << Yuccagrade::Test::runLoad(options).front().toJson() << '\n';
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n' << description;
        return 1;
    }
}
