#include "cyclamenpost/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

auto logger() -> log4cplus::Logger&
{
    static auto instance = log4cplus::Logger::getInstance("cyclamenpost");
    return instance;
}

auto append_value(std::string& line, std::string_view value) -> void
{
    const auto plain =
        !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        // a line break inside a value would let a caller forge log lines
        line += static_cast<unsigned char>(character) < 0x20U ? ' ' : character;
    }
    line += '"';
}

} // namespace

auto start_logging(log_level level) -> void
{
    static auto initializer = log4cplus::Initializer{};
    // our code runs on one thread, so the pool for asynchronous appenders is not needed
    log4cplus::setThreadPoolSize(0);
    constexpr auto to_standard_error = true;
    constexpr auto flush_each_line = true;
    auto appender = log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n"));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setLogLevel(to_log4cplus(level));
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
               {"step", std::string(name_in(step_names, failure.at))},
               {"peer", failure.peer},
               {"message", failure.message}});
}

} // namespace cyclamenpost
