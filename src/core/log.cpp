#include "cyclamenpost/core/log.hpp"

#include <cerrno>
#include <cstdlib>

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include "cyclamenpost/core/log_buffer.hpp"

namespace cyclamenpost {

namespace {

auto to_log4cplus(log_level level) -> log4cplus::LogLevel
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

auto from_log4cplus(log4cplus::LogLevel severity) -> log_level
{
    if (severity >= log4cplus::ERROR_LOG_LEVEL) {
        return log_level::error;
    }
    if (severity >= log4cplus::WARN_LOG_LEVEL) {
        return log_level::warning;
    }
    return severity >= log4cplus::INFO_LOG_LEVEL ? log_level::info : log_level::debug;
}

// Lines below warning are written in batches of this size, which saves a system call per line.
constexpr std::size_t flush_threshold_bytes = 4096;

/// Appender that writes to a non-blocking descriptor and buffers what it does not accept.
class buffered_appender : public log4cplus::Appender {
public:
    explicit buffered_appender(int descriptor) : descriptor_(descriptor)
    {
        fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
    }

    ~buffered_appender() override
    {
        destructorImpl();
    }

    auto close() -> void override
    {
        flush();
        closed = true;
    }

    auto flush() -> void
    {
        while (!buffer_.bytes.empty()) {
            const auto count = write(descriptor_, buffer_.bytes.data(), buffer_.bytes.size());
            if (count <= 0) {
                if (count < 0 && errno == EINTR) {
                    continue;
                }
                return;
            }
            remove_written(buffer_, static_cast<std::size_t>(count));
        }
    }

protected:
    auto append(const log4cplus::spi::InternalLoggingEvent& event) -> void override
    {
        const auto level = from_log4cplus(event.getLogLevel());
        add_line(buffer_, level, formatEvent(event));
        if (level >= log_level::warning || buffer_.bytes.size() >= flush_threshold_bytes) {
            flush();
        }
    }

private:
    int descriptor_;
    log_buffer buffer_;
};

/// The current appender, owned by log4cplus; null before `start_logging`.
buffered_appender* current_appender = nullptr;

auto logger() -> log4cplus::Logger&
{
    static auto instance = log4cplus::Logger::getInstance("cyclamenpost");
    return instance;
}

auto append_value(std::string& line, std::string_view value) -> void
{
    const auto needs_no_quotes =
        !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
    if (needs_no_quotes) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        // A line break in a value would allow a caller to forge log lines.
        line += static_cast<unsigned char>(character) < 0x20U ? ' ' : character;
    }
    line += '"';
}

} // namespace

auto start_logging(log_level level, int descriptor) -> void
{
    static auto initializer = log4cplus::Initializer{};
    // The appender is synchronous, so the thread pool for asynchronous appenders is not needed.
    log4cplus::setThreadPoolSize(0);
    logger().removeAllAppenders();
    current_appender = new buffered_appender(descriptor);
    auto appender = log4cplus::SharedAppenderPtr(current_appender);
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n"));
    logger().addAppender(appender);
    logger().setLogLevel(to_log4cplus(level));
}

auto flush_log() -> void
{
    if (current_appender != nullptr) {
        current_appender->flush();
    }
}

auto exit_process(int status) -> void
{
    flush_log();
    std::quick_exit(status);
}

auto format_event(std::string_view event, std::initializer_list<log_field> fields) -> std::string
{
    auto line = "event=" + std::string(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    return line;
}

auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
    -> void
{
    const auto severity = to_log4cplus(level);
    if (logger().isEnabledFor(severity)) {
        logger().log(severity, format_event(event, fields), __FILE__, __LINE__);
    }
}

auto log_error(std::string_view event, const error& failure) -> void
{
    log_event(log_level::error, event,
              {{"id", std::to_string(static_cast<int>(failure.id))},
               {"step", std::string(name_in(step_names, failure.failed_step))},
               {"peer", failure.peer},
               {"message", failure.message}});
}

} // namespace cyclamenpost
