#include <Support/BlockingCall.h>

namespace TestSupport {

std::optional<HTTP::Response> blockingCall(Core::Endpoint const& endpoint, HTTP::Request request, Core::Error& error, std::chrono::milliseconds timeout)
{
    EventLoop loop;
    HTTP::Client client(loop.runtime(), {});
    return loop.run(client.send(endpoint, std::move(request), HTTP::ConnectionUse::NewConnection, loop.runtime().now() + timeout, error));
}

}
