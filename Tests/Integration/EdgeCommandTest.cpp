#include <Support/ChildProcess.h>
#include <Support/WaitUntil.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

// Guards against a process that a reload ends while it starts: it was not started again, and its data centre lacked a node (soak seed 8412).
TEST(EdgeCommandTest, ReloadDuringTheStartIsNoEnd)
{
    char directory[] = "/tmp/hyssopstep-edge-XXXXXX";
    ASSERT_TRUE(mkdtemp(directory));
    auto const settings = std::string(directory) + "/settings";
    ASSERT_EQ(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR), 0);
    TestSupport::ChildProcess process({ HYSSOPSTEP_BINARY, "edge", "--boot=" + settings });
    // Succeeds as soon as the process reads its settings.
    int file = -1;
    EXPECT_TRUE(TestSupport::waitUntil([&] { return (file = open(settings.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
    EXPECT_TRUE(process.sendSignal(SIGHUP));
    std::string const text = "--node_id=n0\n--data_centre=a\n--client_listen=127.0.0.1:0\n--ready_listen=127.0.0.1:0\n--metrics_listen=127.0.0.1:0\n"
                             "--peer_address=127.0.0.1\n--peer_ports=0,0\n--platform=127.0.0.1:1\n";
    EXPECT_EQ(write(file, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(file);
    EXPECT_TRUE(TestSupport::waitUntil([&] { return !process.isRunning() || process.log().find("event=started") != std::string::npos; }));
    EXPECT_TRUE(process.isRunning()) << process.log();
    unlink(settings.c_str());
    rmdir(directory);
}
