#pragma once

#include <LibHTTP/MemoryBudget.h>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/errc.hpp>
#include <string>

namespace HTTP {

/// The body of the request that a connection receives. Internal to LibHTTP.
struct BodySink {
    enum class Mode {
        Keep,
        /// Counts the bytes only.
        Discard,
        /// The budget refused the body, or took its memory for another request.
        Refused,
    };

    Mode mode { Mode::Keep };
    std::string bytes;
    std::size_t received { 0 };
    /// The number of pieces in which it was received; a chunk has one or more.
    std::size_t pieces { 0 };
    /// What the budget grants for `bytes`, in steps.
    std::size_t granted { 0 };
    /// What the request holds beside its body.
    std::size_t otherBytes { 0 };
    MemoryHolder* memory { nullptr };

    /// Returns false if the body is not kept any more.
    bool append(char const* data, std::size_t length)
    {
        received += length;
        ++pieces;
        if (mode != Mode::Keep)
            return mode == Mode::Discard;
        if (received > granted) {
            static constexpr std::size_t step = 16 * 1024;
            auto const wanted = (received + step - 1) / step * step;
            if (!memory->resizeRequest(otherBytes + wanted)) {
                refuse();
                return false;
            }
            granted = wanted;
        }
        bytes.append(data, length);
        return true;
    }

    void refuse()
    {
        mode = Mode::Refused;
        granted = 0;
        std::string().swap(bytes);
    }
};

/// A body type of Beast that passes the bytes to a sink. Internal to LibHTTP.
struct SinkBody {
    using value_type = BodySink*;

    static std::uint64_t size(value_type const& sink) { return sink->bytes.size(); }

    // Beast requires this name. NOLINTNEXTLINE(readability-identifier-naming)
    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& sink)
            : m_sink(sink)
        {
        }

        // Reserving takes address space only; the budget counts what is written to.
        void init(boost::optional<std::uint64_t> const& length, boost::system::error_code& errorCode)
        {
            if (length && m_sink->mode == BodySink::Mode::Keep)
                m_sink->bytes.reserve(static_cast<std::size_t>(*length));
            errorCode = {};
        }

        template <typename Buffers>
        std::size_t put(Buffers const& buffers, boost::system::error_code& errorCode)
        {
            errorCode = {};
            std::size_t total = 0;
            for (auto const buffer : boost::beast::buffers_range_ref(buffers)) {
                if (!m_sink->append(static_cast<char const*>(buffer.data()), buffer.size())) {
                    errorCode = make_error_code(boost::system::errc::not_enough_memory);
                    return total;
                }
                total += buffer.size();
            }
            return total;
        }

        static void finish(boost::system::error_code& errorCode) { errorCode = {}; }

    private:
        value_type& m_sink;
    };
};

/// Counts the bytes that it has allocated, so that header fields are counted with all that they take. Internal to LibHTTP.
template <typename T>
class CountingAllocator {
public:
    using value_type = T;

    explicit CountingAllocator(std::size_t& bytes)
        : m_bytes(&bytes)
    {
    }

    template <typename Other>
    CountingAllocator(CountingAllocator<Other> const& other)
        : m_bytes(other.m_bytes)
    {
    }

    T* allocate(std::size_t count)
    {
        *m_bytes += count * sizeof(T) + allocationOverhead;
        return std::allocator<T>().allocate(count);
    }

    void deallocate(T* pointer, std::size_t count)
    {
        *m_bytes -= count * sizeof(T) + allocationOverhead;
        std::allocator<T>().deallocate(pointer, count);
    }

    template <typename Other>
    bool operator==(CountingAllocator<Other> const& other) const
    {
        return m_bytes == other.m_bytes;
    }

private:
    template <typename Other>
    friend class CountingAllocator;

    static constexpr std::size_t allocationOverhead = 16;

    std::size_t* m_bytes;
};

using RequestParser = boost::beast::http::request_parser<SinkBody, CountingAllocator<char>>;

}
