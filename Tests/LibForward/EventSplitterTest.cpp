#include <LibForward/EventSplitter.h>
#include <gtest/gtest.h>

// Guards against a client that gets part of an event, which a resumed stream would repeat.
TEST(EventSplitterTest, OnlyWholeEventsAreReturned)
{
    std::string const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid:3\ndata: c\n";
    for (std::size_t step = 1; step < stream.size(); ++step) {
        Forward::EventSplitter splitter;
        std::string events;
        for (std::size_t at = 0; at < stream.size(); at += step)
            events += splitter.feed(std::string_view(stream).substr(at, step));
        EXPECT_EQ(events, "id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\n") << step;
        EXPECT_EQ(splitter.partial(), "id:3\ndata: c\n");
        EXPECT_EQ(splitter.lastId(), 2u);
        EXPECT_EQ(splitter.eventCount(), 2u);
    }
}

TEST(EventSplitterTest, DroppedBytesDoNotReachTheContinuedStream)
{
    Forward::EventSplitter splitter;
    EXPECT_EQ(splitter.feed("id: 7\ndata: a\n\nid: 8\nda"), "id: 7\ndata: a\n\n");
    splitter.dropPartial();
    EXPECT_EQ(splitter.feed("id: 8\ndata: b\n\n"), "id: 8\ndata: b\n\n");
    EXPECT_EQ(splitter.lastId(), 8u);
}
